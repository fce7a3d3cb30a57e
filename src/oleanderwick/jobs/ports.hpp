#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "../core/core.hpp"
#include "commands.hpp"
#include "maintenance_controller.hpp"
#include "pool_balancer.hpp"

namespace oleanderwick::jobs
{

/** @brief Key of the coordination store with its value. */
struct StoreItem {
    std::string key;
    std::string value;
    std::int64_t revision{0}; /**< Store revision of the last change of the key. */

    [[nodiscard]] bool operator==(const StoreItem &) const = default;
};

/** @brief Result of a call to the coordination store. */
enum class StoreOutcome : std::uint8_t {
    Done,
    Conflict, /**< A condition was not met; no change was made. */
    NotFound, /**< The key or the lease does not exist. */
    Compacted, /**< The store has discarded the requested history. */
    Refused, /**< The call had no effect; the store is busy or unreachable. */
    Unknown, /**< No reply: the call may have taken effect, or may still do so while its conditions are met. */
};

/** @brief Atomic change of the store: applied as a whole if all conditions are met. */
struct StoreChange {
    struct Condition {
        std::string key;
        std::int64_t revision{0}; /**< Required revision of the key; 0 if the key must not exist. */
    };
    struct Write {
        std::string key;
        std::string value;
        std::int64_t lease{0}; /**< Lease that the key is bound to; 0 for none. */
    };

    std::vector<Condition> conditions;
    std::vector<Write> writes;
    std::vector<std::string> removals;
};

/** @brief Reply of the coordination store. */
struct StoreReply {
    StoreOutcome outcome{StoreOutcome::Unknown};
    std::int64_t revision{0}; /**< Revision of the change, or of the store at the time of the reply. */
    std::vector<StoreItem> items; /**< Items read; after a conflict, the items of the conditions; after a watch, the last change of each key. */
    std::vector<std::string> removed; /**< Keys whose removal a watch has seen. */
    bool more{false}; /**< True if more items follow the last one. */
    std::int64_t lease{0}; /**< Lease that was granted or renewed. */
    core::Duration ttl{}; /**< Time after which the lease expires unless it is renewed. */
};

/** @brief The platform's key-value store. Calls do not block; each invokes its callback once, on the event loop's thread. */
class CoordinationStore
{
public:
    using OnReply = std::function<void(StoreReply)>;

    virtual ~CoordinationStore() = default;

    /**
     * @brief Reads one key.
     * @param key Key to read.
     * @param onReply Receives the item, or `NotFound`.
     */
    virtual void read(const std::string &key, OnReply onReply) = 0;

    /**
     * @brief Reads a page of the keys that start with a prefix.
     * @param prefix Prefix of the keys.
     * @param after Last key of the previous page; empty for the first page.
     * @param onReply Receives the items and whether more follow.
     */
    virtual void list(const std::string &prefix, const std::string &after, OnReply onReply) = 0;

    /**
     * @brief Waits for changes of the keys that start with a prefix.
     * @param prefix Prefix of the keys.
     * @param after Only changes after this revision are returned.
     * @param wait Maximum time to wait for a change.
     * @param onReply Receives the changed items and the removed keys.
     */
    virtual void watch(const std::string &prefix, std::int64_t after, core::Duration wait, OnReply onReply) = 0;

    /**
     * @brief Applies an atomic change.
     * @param change Conditions, writes and removals.
     * @param onReply Receives the revision of the change, or a conflict.
     */
    virtual void commit(const StoreChange &change, OnReply onReply) = 0;

    /**
     * @brief Creates a lease.
     * @param ttl Time after which the lease expires unless it is renewed.
     * @param onReply Receives the lease.
     */
    virtual void grant(core::Duration ttl, OnReply onReply) = 0;

    /**
     * @brief Renews a lease.
     * @param lease Lease to renew.
     * @param onReply Receives the result; `NotFound` if the lease has expired.
     */
    virtual void renew(std::int64_t lease, OnReply onReply) = 0;
};

/** @brief Reply of a worker to a start command. */
struct StartReply {
    StartOutcome outcome{StartOutcome::Unknown};
    std::int64_t clockMs{0}; /**< Time of the worker's clock; 0 if unknown. */
};

/** @brief Reply of a worker to a poll. */
struct PollReply {
    enum class Kind : std::uint8_t {
        Reported, /**< The reply carries a report. */
        Fenced, /**< The worker has seen the token of a newer owner. */
        Gone, /**< Another worker replied at this address. */
        NoReply, /**< No usable reply. */
    };
    Kind kind{Kind::NoReply};
    WorkerReport report;
};

/** @brief Permission of an owner to send a command. */
struct CommandPermit {
    std::int64_t token{0}; /**< Fencing token of the owner. */
    core::TimePoint sendBefore{core::TimePoint::max()}; /**< Time at which the permission runs out; a command that was not sent by then is not sent any more. */

    [[nodiscard]] bool operator==(const CommandPermit &) const = default;
};

/** @brief Sends commands to workers. Calls do not block; each invokes its callback, if it has one, once on the event loop's thread. */
class WorkerPort
{
public:
    virtual ~WorkerPort() = default;

    /**
     * @brief Starts a run.
     * @param command Worker, run and lease.
     * @param permit Permission of the owner to send the command.
     * @param onReply Receives the reply.
     */
    virtual void start(const StartCommand &command, const CommandPermit &permit, std::function<void(StartReply)> onReply) = 0;

    /**
     * @brief Stops a run.
     * @param command Worker and run.
     * @param permit Permission of the owner to send the command.
     * @param onReply Receives true if the worker acknowledged the stop.
     */
    virtual void stop(const StopCommand &command, const CommandPermit &permit, std::function<void(bool)> onReply) = 0;

    /**
     * @brief Sets the pace of a run.
     * @param command Worker, run and share of time.
     * @param permit Permission of the owner to send the command.
     */
    virtual void pace(const PaceCommand &command, const CommandPermit &permit) = 0;

    /**
     * @brief Polls a worker, which may extend its lease.
     * @param command Worker, lease and acknowledged run ends.
     * @param permit Permission of the owner to send the command.
     * @param onReply Receives the worker's report, or why there is none.
     */
    virtual void poll(const PollCommand &command, const CommandPermit &permit, std::function<void(PollReply)> onReply) = 0;
};

/** @brief The platform's instances. Calls do not block; each invokes its callback once, on the event loop's thread. */
class InstancePort
{
public:
    using Instances = std::map<std::string, InstanceEntry>;

    virtual ~InstancePort() = default;

    /**
     * @brief Lists all instances.
     * @param onReply Receives the instances by name, or `std::nullopt` if the call failed.
     */
    virtual void list(std::function<void(std::optional<Instances>)> onReply) = 0;

    /**
     * @brief Starts the maintenance of an instance.
     * @param command Wave and instance.
     * @param permit Permission of the owner to send the command.
     * @param onReply Receives the outcome.
     */
    virtual void maintain(const MaintainCommand &command, const CommandPermit &permit, std::function<void(InstanceOutcome)> onReply) = 0;

    /**
     * @brief Moves an instance to another pool.
     * @param command Instance and pools.
     * @param permit Permission of the owner to send the command.
     * @param onReply Receives the outcome.
     */
    virtual void move(const MoveCommand &command, const CommandPermit &permit, std::function<void(InstanceOutcome)> onReply) = 0;
};

/** @brief Reply of the advice service. */
struct AdviceReply {
    std::map<std::string, std::string> tickets; /**< Tickets of the workers that may run the step, by worker. */
    core::Duration validFor{}; /**< Time for which the tickets are valid. */
};

/** @brief Service that decides which workers may run a step. */
class AdvicePort
{
public:
    virtual ~AdvicePort() = default;

    /**
     * @brief Requests tickets for a step.
     * @param request Step and workers.
     * @param onReply Receives the tickets, or `std::nullopt` if the call failed.
     */
    virtual void request(const AdviceRequest &request, std::function<void(std::optional<AdviceReply>)> onReply) = 0;
};

} // namespace oleanderwick::jobs
