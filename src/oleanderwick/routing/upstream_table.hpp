#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "../core/core.hpp"
#include "fwd.hpp"

namespace oleanderwick::routing
{

/** @brief Random engine for the choice of upstreams, seeded by the caller. */
using RandomEngine = std::mt19937_64;

/** @brief Configuration of an upstream. */
struct UpstreamInfo {
    core::InstanceId id;
    std::string address;
    std::string zone;
    bool leaving{false};
    std::uint32_t idleConnections{0}; /**< Maximum number of idle connections from all nodes together. */

    [[nodiscard]] bool operator==(const UpstreamInfo &) const = default;
};

/** @brief Upstreams of one pool with their health, and load balancing among them. */
class UpstreamTable
{
public:
    using size_type = std::size_t;
    /** @brief Function that returns how many requests of this node may run on an upstream at once. */
    using SlotsOf = std::function<std::uint32_t(const core::InstanceId &)>;

    /**
     * @brief Creates an empty table.
     * @param zone Availability zone of this node, whose upstreams are preferred.
     */
    explicit UpstreamTable(std::string zone);

    /** @return Number of upstreams, including removed ones that still run requests. */
    [[nodiscard]] size_type size() const noexcept;

    /**
     * @brief Counts the requests of this node that run on an upstream.
     * @param id Upstream to look up.
     * @return Number of running requests; zero for an unknown upstream.
     */
    [[nodiscard]] std::uint32_t running(const core::InstanceId &id) const;

    /**
     * @brief Returns whether an upstream may get new requests.
     * @param id Upstream to look up.
     * @param now Current time of the monotonic clock.
     * @return False for an upstream that is unknown, removed, leaving or ejected.
     */
    [[nodiscard]] bool usable(const core::InstanceId &id, core::TimePoint now) const;

    /**
     * @brief Finds the configuration of an upstream.
     * @param id Upstream to look up.
     * @return Its configuration, or null if it is not in the table.
     */
    [[nodiscard]] const UpstreamInfo *find(const core::InstanceId &id) const;

    /**
     * @brief Replaces the upstreams; a new address resets the failures and the ejection of an upstream, the rest of its health is kept.
     * @param upstreams Upstreams of the pool.
     * @param now Current time of the monotonic clock. An upstream that is new, has a new address or is no longer leaving
     * starts slowly from now on; upstreams assigned to an empty table start with all their slots.
     */
    void assign(const std::vector<UpstreamInfo> &upstreams, core::TimePoint now);

    /**
     * @brief Chooses the less loaded of two random upstreams with a free slot, from the own availability zone if possible.
     * @param slotsOf Returns the slots that this node may use on an upstream.
     * @param avoid Upstream of the previous attempt, chosen only if there is no other.
     * @param now Current time of the monotonic clock.
     * @param random Random engine.
     * @return The upstream, or `std::nullopt` if no usable upstream has a free slot.
     */
    [[nodiscard]] std::optional<core::InstanceId> choose(const SlotsOf &slotsOf,
                                                         const core::InstanceId &avoid,
                                                         core::TimePoint now,
                                                         RandomEngine &random) const;

    /**
     * @brief Counts a request as running.
     * @param id Upstream of the request; has to be in the table.
     */
    void start(const core::InstanceId &id);

    /**
     * @brief Updates the health of an upstream after an exchange; the slot stays in use until `finish`.
     * @param id Upstream of the exchange; an unknown one is ignored.
     * @param failed True if the exchange counts as a failure of the upstream.
     * @param run Time from the start to the end of the exchange.
     * @param now Current time of the monotonic clock.
     */
    void observe(const core::InstanceId &id, bool failed, core::Duration run, core::TimePoint now);

    /**
     * @brief Counts a running request as finished.
     * @param id Upstream of the request.
     */
    void finish(const core::InstanceId &id);

    /**
     * @brief Ejects an upstream that reported that it is leaving; it starts slowly once the ejection time is over.
     * @param id Upstream that is leaving.
     * @param now Current time of the monotonic clock.
     */
    void markLeaving(const core::InstanceId &id, core::TimePoint now);

    /**
     * @brief Briefly ejects an upstream that refused a request; if it refuses again, ejects it for as long as a leaving one.
     *
     * An exchange in between that `observe` does not count as a failure makes the next refusal count as the first.
     *
     * @param id Upstream that refused.
     * @param now Current time of the monotonic clock.
     */
    void markRefused(const core::InstanceId &id, core::TimePoint now);

private:
    struct Health {
        UpstreamInfo info;
        std::uint32_t running{0};
        std::uint32_t consecutiveFailures{0};
        std::uint32_t consecutiveRefusals{0};
        std::uint32_t ejections{0};
        bool present{true};
        double meanRunMs{0.0};
        core::TimePoint slowStartFrom;
        core::TimePoint ejectedUntil;
    };

    [[nodiscard]] bool usable(const Health &health, core::TimePoint now) const;
    [[nodiscard]] std::uint32_t slowStartSlots(const Health &health, std::uint32_t slots, core::TimePoint now) const;
    [[nodiscard]] static double load(const Health &health);
    [[nodiscard]] bool canEject(core::TimePoint now) const;
    void eject(Health &health, core::TimePoint now);

    std::string m_zone;
    std::map<core::InstanceId, Health> m_upstreams;
};

} // namespace oleanderwick::routing
