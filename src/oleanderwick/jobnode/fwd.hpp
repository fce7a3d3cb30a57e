#pragma once

namespace oleanderwick::jobnode
{

class Watcher;
class Ownership;
class JobDesk;
class Tenure;
class JobNode;
class LogSink;
class Translator;
struct Ports;

} // namespace oleanderwick::jobnode
