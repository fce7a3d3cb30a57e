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
 * @brief Lease that the refusals of a node share, replaced every few seconds.
 *
 * A lease for each refusal would double the writes of refusals. The lease is not renewed, so that each record expires about a minute after it was written.
 */
class RefusalLease
{
public:
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
     */
    RefusalLease(const core::Executor &executor, jobs::CoordinationStore &store);

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
     * @brief Checks whether a record outlives all delayed writes of earlier attempts.
     * @param grant Lease to which the record is bound.
     * @param now Current time of the monotonic clock.
     * @return True if the lease lasts long enough from now on.
     */
    [[nodiscard]] static bool outlivesDelayedWrites(const Grant &grant, core::TimePoint now) noexcept;

private:
    void handleReply(const jobs::StoreReply &reply, core::TimePoint sentAt);

    const core::Executor &m_executor;
    jobs::CoordinationStore &m_store;
    std::optional<Grant> m_grant;
    core::TimePoint m_replaceAt; /**< Time from which `m_grant` is no longer used for new records. */
    std::vector<OnGrant> m_waiting; /**< Callbacks of the request in flight; not empty while there is one. */
};

} // namespace oleanderwick::jobnode
