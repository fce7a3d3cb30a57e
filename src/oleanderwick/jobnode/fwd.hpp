#pragma once

namespace oleanderwick::jobnode
{

class Watcher;
class Ownership;
class JobService;
class JobGate;
class RecordLease;
struct RefusalRecord;
class OwnerTerm;
class JobNode;
class LogSink;
class Translator;
class OwnerNoticePort;
class OwnerNotifier;
class MissedChanges;
struct Ports;

} // namespace oleanderwick::jobnode
