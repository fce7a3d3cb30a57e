#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <variant>

#include "../store/store.hpp"
#include "keyed_record.hpp"
#include "messages.hpp"
#include "store_keys.hpp"

namespace oleanderwick::node
{

/** @brief Outcome of a claim. */
struct ClaimResult {
    /** @brief Kind of outcome. */
    enum class Kind : std::uint8_t {
        Claimed, /**< The request may run; no other request with this key may. */
        Answered, /**< The first request has completed; `answer` is its response. */
        Running, /**< The first request has no response yet, or was lost together with its node. */
        Different, /**< The key was used for another request. */
        NotAvailable, /**< The claim could not be recorded in the store; the request must not run. */
    };

    Kind kind{Kind::NotAvailable};
    http::Response answer; /**< Response to the first request if `kind` is `Answered`. */
};

/** @brief Task to claim an idempotency key for a request. */
struct IdempotencyClaim {
    std::string name; /**< Name of the key record, see `idempotencyRecordName`. */
    std::string owner;
    std::string fingerprint;
    std::function<void(ClaimResult)> done;
};

/** @brief Task to record the response of a request that claimed a key, or to release the key. */
struct IdempotencyFinish {
    std::string name;
    std::string owner;
    std::string fingerprint;
    std::optional<http::Response> answer; /**< std::nullopt if the request was not run: the key may then be claimed again. */
    std::function<void()> done;
};

/** @brief Task of the idempotency duty. */
using IdempotencyTask = std::variant<Quit, IdempotencyClaim, IdempotencyFinish>;
/** @brief Ring of the idempotency duty. */
using IdempotencyRing = core::BoundedRing<IdempotencyTask>;

/** @brief Idempotency keys in the store; not thread-safe. Claiming a key and recording its response are one compare-and-swap each. */
class IdempotencyStore
{
public:
    /**
     * @brief Creates the object without claims.
     * @param store Store connection; has to outlive the object.
     * @param keys Store keys of the fleet.
     */
    IdempotencyStore(store::Store &store, StoreKeys keys);

    /**
     * @brief Claims a key for a request.
     * @param claim Key and request; `done` is not called.
     * @return Outcome of the claim.
     */
    [[nodiscard]] ClaimResult claim(const IdempotencyClaim &claim);

    /**
     * @brief Records the response of a request, or releases its key if the request was not run.
     * @param finish Request and response; ignored unless this object claimed the key. `done` is not called.
     */
    void finish(const IdempotencyFinish &finish);

private:
    [[nodiscard]] store::LeaseId lease();
    [[nodiscard]] ClaimResult evaluateRecord(const IdempotencyClaim &claim, const IdempotencyRecord &record, store::Revision revision);

    store::Store &m_store;
    StoreKeys m_keys;
    store::LeaseId m_lease{0};
    core::TimePoint m_leaseGrantedAt;
    std::map<std::string, store::Revision> m_claimed;
};

/** @brief Thread that claims and finishes idempotency keys. */
class IdempotencyDuty
{
public:
    /**
     * @brief Starts the thread.
     * @param store Store connection for this duty.
     * @param keys Store keys of the fleet.
     * @param tasks Ring of tasks; `Quit` ends the thread.
     */
    IdempotencyDuty(std::shared_ptr<store::Store> store, const StoreKeys &keys, IdempotencyRing &tasks);

private:
    void run();

    std::shared_ptr<store::Store> m_store;
    IdempotencyStore m_idempotencyStore;
    IdempotencyRing &m_tasks;
    std::jthread m_thread;
};

} // namespace oleanderwick::node
