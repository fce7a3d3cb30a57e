#pragma once

namespace oleanderwick::jobnode
{

class Watcher;
class Ownership;
class JobService;
class OwnerTerm;
class JobNode;
class LogSink;
class Translator;
struct Ports;

} // namespace oleanderwick::jobnode
