#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "../core/core.hpp"
#include "orders.hpp"
#include "pool_balancer.hpp"
#include "maintenance_controller.hpp"

namespace oleanderwick::jobs
{

/** @brief Item of the coordination store. */
struct StoreItem {
    std::string key;
    std::string value;
    std::int64_t revision{0}; /**< Its last change. */

    [[nodiscard]] bool operator==(const StoreItem &) const = default;
};

/** @brief What became of a call on the coordination store. */
enum class StoreOutcome : std::uint8_t {
    Done,
    Conflict, /**< A condition did not hold; nothing was written. */
    NotFound, /**< No such key, or no such lease. */
    Compacted, /**< The history asked for is gone. */
    Refused, /**< Nothing was done; the store is busy or away. */
    Unknown, /**< No answer: it may have been done, or may be done later while its conditions hold. */
};

/** @brief Change of the store: all of it or nothing. */
struct StoreChange {
    struct Condition {
        std::string key;
        std::int64_t revision{0}; /**< 0 if the key must not exist. */
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

/** @brief Answer of the store. */
struct StoreAnswer {
    StoreOutcome outcome{StoreOutcome::Unknown};
    std::int64_t revision{0}; /**< Revision of the change, or of the store when it answered. */
    std::vector<StoreItem> items; /**< Items read, or those of the conditions after a conflict; after a watch the last change of each key. */
    std::vector<std::string> removed; /**< Keys that a watch saw removed. */
    bool more{false}; /**< More items follow the last one. */
    std::int64_t lease{0};
    core::Duration ttl{};
};

/** @brief The platform's key-value service; calls do not block, and each is answered once on the loop's thread. */
class CoordinationStore
{
public:
    using OnAnswer = std::function<void(StoreAnswer)>;

    virtual ~CoordinationStore() = default;

    /**
     * @brief Reads one key.
     * @param key The key.
     * @param onAnswer Takes the answer.
     */
    virtual void read(const std::string &key, OnAnswer onAnswer) = 0;

    /**
     * @brief Reads a page of the keys with a prefix.
     * @param prefix The prefix.
     * @param after Key after which the page begins; empty for the first page.
     * @param onAnswer Takes the answer.
     */
    virtual void list(const std::string &prefix, const std::string &after, OnAnswer onAnswer) = 0;

    /**
     * @brief Waits for changes of the keys with a prefix.
     * @param prefix The prefix.
     * @param after Revision after which changes count.
     * @param wait Longest time to wait.
     * @param onAnswer Takes the answer.
     */
    virtual void watch(const std::string &prefix, std::int64_t after, core::Duration wait, OnAnswer onAnswer) = 0;

    /**
     * @brief Makes a change.
     * @param change The change.
     * @param onAnswer Takes the answer.
     */
    virtual void commit(const StoreChange &change, OnAnswer onAnswer) = 0;

    /**
     * @brief Makes a lease.
     * @param ttl Time that it lasts without renewal.
     * @param onAnswer Takes the answer.
     */
    virtual void grant(core::Duration ttl, OnAnswer onAnswer) = 0;

    /**
     * @brief Renews a lease.
     * @param lease The lease.
     * @param onAnswer Takes the answer.
     */
    virtual void renew(std::int64_t lease, OnAnswer onAnswer) = 0;
};

/** @brief Answer of a worker to a start. */
struct StartReply {
    StartAnswer answer{StartAnswer::Unknown};
    std::int64_t clockMs{0}; /**< The worker's clock; 0 if it was not said. */
};

/** @brief Answer of a worker to a look. */
struct HoldReply {
    enum class Kind : std::uint8_t {
        Listed,
        Fenced, /**< The worker has seen a newer owner. */
        Gone, /**< The address refuses, or answers for another worker. */
        Silent,
    };
    Kind kind{Kind::Silent};
    WorkerReport report;
};

/** @brief Orders to workers; calls do not block, and each is answered once on the loop's thread. */
class WorkerPort
{
public:
    virtual ~WorkerPort() = default;

    /**
     * @brief Starts a run.
     * @param order The order.
     * @param token Fencing token of the owner.
     * @param onReply Takes the answer.
     */
    virtual void start(const StartOrder &order, std::int64_t token, std::function<void(StartReply)> onReply) = 0;

    /**
     * @brief Stops a run.
     * @param order The order.
     * @param token Fencing token of the owner.
     * @param onReply Takes whether it was acknowledged.
     */
    virtual void stop(const StopOrder &order, std::int64_t token, std::function<void(bool)> onReply) = 0;

    /**
     * @brief Sets the pace of a run.
     * @param order The order.
     * @param token Fencing token of the owner.
     */
    virtual void pace(const PaceOrder &order, std::int64_t token) = 0;

    /**
     * @brief Looks at a worker, and may lengthen its lease.
     * @param order The order.
     * @param token Fencing token of the owner.
     * @param onReply Takes the answer.
     */
    virtual void hold(const HoldOrder &order, std::int64_t token, std::function<void(HoldReply)> onReply) = 0;
};

/** @brief The platform's instances; calls do not block, and each is answered once on the loop's thread. */
class InstancePort
{
public:
    using Instances = std::map<std::string, InstanceEntry>;

    virtual ~InstancePort() = default;

    /**
     * @brief Lists all instances.
     * @param onReply Takes the list, or nothing.
     */
    virtual void list(std::function<void(std::optional<Instances>)> onReply) = 0;

    /**
     * @brief Maintains an instance.
     * @param order The order.
     * @param token Fencing token of the owner.
     * @param onReply Takes the answer.
     */
    virtual void maintain(const MaintainCommand &order, std::int64_t token, std::function<void(InstanceResult)> onReply) = 0;

    /**
     * @brief Moves an instance to another pool.
     * @param order The order.
     * @param token Fencing token of the owner.
     * @param onReply Takes the answer.
     */
    virtual void move(const MoveCommand &order, std::int64_t token, std::function<void(InstanceResult)> onReply) = 0;
};

/** @brief Answer of the advice service. */
struct AdviceReply {
    std::map<std::string, std::string> tickets; /**< Ticket by worker that may run the step. */
    core::Duration validFor{};
};

/** @brief Service that tells which workers may run a step. */
class AdvicePort
{
public:
    virtual ~AdvicePort() = default;

    /**
     * @brief Asks about a step.
     * @param order The question.
     * @param onReply Takes the answer, or nothing.
     */
    virtual void ask(const AdviceOrder &order, std::function<void(std::optional<AdviceReply>)> onReply) = 0;
};

} // namespace oleanderwick::jobs
