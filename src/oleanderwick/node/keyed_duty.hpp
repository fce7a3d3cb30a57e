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

/** @brief What became of a claim. */
struct ClaimResult {
    /** @brief Kind of result. */
    enum class Kind : std::uint8_t {
        Claimed, /**< The request may run, and nobody else's with this key. */
        Answered, /**< The first request has its answer. */
        Running, /**< The first request has none yet, or it was lost with its node. */
        Different, /**< The key was used for another request. */
        NotAvailable, /**< The store cannot be asked; the request must not run. */
    };

    Kind kind{Kind::NotAvailable};
    http::Response answer; /**< The first answer. */
};

/** @brief Request for the right to run with a key. */
struct KeyedClaim {
    std::string name; /**< See `keyedName`. */
    std::string owner;
    std::string fingerprint;
    std::function<void(ClaimResult)> done;
};

/** @brief End of a request that had claimed a key. */
struct KeyedFinish {
    std::string name;
    std::string owner;
    std::string fingerprint;
    std::optional<http::Response> answer; /**< Nothing if it has not run: the key may then be claimed again. */
    std::function<void()> done;
};

/** @brief What the duty takes. */
using KeyedTask = std::variant<Quit, KeyedClaim, KeyedFinish>;
/** @brief Ring of the duty. */
using KeyedRing = core::BoundedRing<KeyedTask>;

/** @brief Claims of keys in the store; for one thread. A claim is one swap, an answer another. */
class KeyedStore
{
public:
    /**
     * @brief Starts without claims.
     * @param store Connection to use; has to outlive the object.
     * @param keys Keys in use.
     */
    KeyedStore(store::Store &store, StoreKeys keys);

    /**
     * @brief Claims a key for a request.
     * @param claim What is claimed.
     * @return What became of it.
     */
    [[nodiscard]] ClaimResult claim(const KeyedClaim &claim);

    /**
     * @brief Keeps the answer of a request that had claimed, or lets the key go.
     * @param finish What ended.
     */
    void finish(const KeyedFinish &finish);

private:
    [[nodiscard]] store::LeaseId lease();
    [[nodiscard]] ClaimResult resultOf(const KeyedClaim &claim, const KeyedRecord &record, store::Revision revision);

    store::Store &m_store;
    StoreKeys m_keys;
    store::LeaseId m_lease{0};
    core::TimePoint m_leaseMade;
    std::map<std::string, store::Revision> m_claimed;
};

/** @brief Thread that serves claims and ends of keyed requests. */
class KeyedDuty
{
public:
    /**
     * @brief Starts the thread.
     * @param store Connection of this duty.
     * @param keys Keys in use.
     * @param tasks Ring that it takes from; a `Quit` ends it.
     */
    KeyedDuty(std::shared_ptr<store::Store> store, const StoreKeys &keys, KeyedRing &tasks);

private:
    void run();

    std::shared_ptr<store::Store> m_store;
    KeyedStore m_keyed;
    KeyedRing &m_tasks;
    std::jthread m_thread;
};

} // namespace oleanderwick::node
