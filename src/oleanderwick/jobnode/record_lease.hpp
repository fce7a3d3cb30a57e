#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <vector>

#include "../core/core.hpp"
#include "../jobs/ports.hpp"

namespace oleanderwick::jobnode
{

/**
 * @brief Lease that the short-lived records of a node share, replaced from time to time.
 *
 * A lease for each record would double the writes. The lease is not renewed, so that each record expires.
 */
class RecordLease
{
public:
    /** @brief Times of the records. */
    struct Lifetime {
        core::Duration record; /**< A record lasts at least so long when it is written under a fresh lease. */
        core::Duration use; /**< Time for which a lease is used for new records. */
        core::Duration minimum; /**< Below this remaining time a lease is not used any more. */
    };

    /** @brief A granted lease. */
    struct Grant {
        std::int64_t lease{0}; /**< Id of the lease. */
        core::TimePoint validUntil; /**< Time until which the store keeps the lease for certain. */
    };
    /** @brief Receives the lease, or `std::nullopt` if none could be had. */
    using OnGrant = std::function<void(const std::optional<Grant> &)>;

    /**
     * @brief Creates the object without a lease.
     * @param executor Clock.
     * @param store Store that grants the leases.
     * @param lifetime Times of the records.
     */
    RecordLease(const core::Executor &executor, jobs::CoordinationStore &store, const Lifetime &lifetime);

    /**
     * @brief Provides the current lease, or requests one.
     * @param onGrant Called once; at once if a lease is at hand.
     */
    void obtain(OnGrant onGrant);

    /**
     * @brief Discards a lease that the store doesn't know any more.
     * @param lease Id of the lease; ignored if it has been replaced.
     */
    void discard(std::int64_t lease);

    /**
     * @brief Checks whether a record lasts for the minimum time.
     * @param grant Lease to which the record is bound.
     * @param now Current time of the monotonic clock.
     * @return True if the lease lasts long enough from now on.
     */
    [[nodiscard]] bool lastsLongEnough(const Grant &grant, core::TimePoint now) const noexcept;

private:
    void handleReply(const jobs::StoreReply &reply, core::TimePoint sentAt);

    const core::Executor &m_executor;
    jobs::CoordinationStore &m_store;
    Lifetime m_lifetime;
    std::optional<Grant> m_grant;
    core::TimePoint m_replaceAt; /**< Time from which `m_grant` is no longer used for new records. */
    std::vector<OnGrant> m_waiting; /**< Callbacks of the request in flight; not empty while there is one. */
};

} // namespace oleanderwick::jobnode
