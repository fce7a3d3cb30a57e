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

/** @brief Random source of the decisions, seeded by the caller. */
using RandomEngine = std::mt19937_64;

/** @brief What the configuration says of an upstream. */
struct UpstreamInfo {
    core::InstanceId id;
    std::string address;
    std::string zone;
    bool leaving{false};
    std::uint32_t idleConnections{0}; /**< Most connections that all nodes together may keep open without a request. */

    [[nodiscard]] bool operator==(const UpstreamInfo &) const = default;
};

/** @brief Upstreams of one pool with their health, and the choice among them. */
class UpstreamTable
{
public:
    using size_type = std::size_t;
    /** @brief Tells how many requests may run at once on an upstream from this node. */
    using SlotsOf = std::function<std::uint32_t(const core::InstanceId &)>;

    /**
     * @brief Makes an empty table.
     * @param zone Availability zone of this node, preferred in the choice.
     */
    explicit UpstreamTable(std::string zone);

    /** @return Upstreams in the table. */
    [[nodiscard]] size_type size() const noexcept;

    /**
     * @brief Counts the requests under way on an upstream from this node.
     * @param id Upstream asked for.
     * @return Their number.
     */
    [[nodiscard]] std::uint32_t running(const core::InstanceId &id) const;

    /**
     * @brief Tells whether an upstream may get new work.
     * @param id Upstream asked for.
     * @param now Present time.
     * @return False for one that is unknown, leaving or ejected.
     */
    [[nodiscard]] bool usable(const core::InstanceId &id, core::TimePoint now) const;

    /**
     * @brief Finds an upstream.
     * @param id Upstream asked for.
     * @return What is known of it, or null.
     */
    [[nodiscard]] const UpstreamInfo *find(const core::InstanceId &id) const;

    /**
     * @brief Replaces the upstreams by the configuration's; health of those that stay is kept.
     * @param upstreams Upstreams of the pool.
     * @param now Present time; an upstream that is new starts slowly from here.
     */
    void assign(const std::vector<UpstreamInfo> &upstreams, core::TimePoint now);

    /**
     * @brief Chooses an upstream with a free slot: two random ones, the less loaded, own availability zone first.
     * @param slotsOf Slots that this node may use on each.
     * @param avoid Upstream of the attempt before, taken only when there is no other.
     * @param now Present time.
     * @param random Random source.
     * @return The upstream, or nothing when no slot is free.
     */
    [[nodiscard]] std::optional<core::InstanceId> choose(const SlotsOf &slotsOf,
                                                         const core::InstanceId &avoid,
                                                         core::TimePoint now,
                                                         RandomEngine &random) const;

    /**
     * @brief Counts a request as under way.
     * @param id Its upstream.
     */
    void start(const core::InstanceId &id);

    /**
     * @brief Learns from an exchange when it ends; its slot may stay out for longer.
     * @param id Its upstream.
     * @param failed True if the upstream is to blame for a failure.
     * @param run Time from start to end.
     * @param now Present time.
     */
    void observe(const core::InstanceId &id, bool failed, core::Duration run, core::TimePoint now);

    /**
     * @brief Counts a request as ended.
     * @param id Its upstream.
     */
    void finish(const core::InstanceId &id);

    /**
     * @brief Marks an upstream that said that it is leaving; lasts until it has been seen back in service.
     * @param id Upstream that said so.
     * @param now Present time.
     */
    void markLeaving(const core::InstanceId &id, core::TimePoint now);

    /**
     * @brief Marks an upstream that refused a request; it rests for a moment, and as if it were leaving when it refuses again.
     * @param id Upstream that refused.
     * @param now Present time.
     */
    void markRefused(const core::InstanceId &id, core::TimePoint now);

private:
    struct Health {
        UpstreamInfo info;
        std::uint32_t running{0};
        std::uint32_t failuresInRow{0};
        std::uint32_t refusalsInRow{0};
        std::uint32_t ejections{0};
        bool present{true};
        double meanRun{0.0};
        core::TimePoint since;
        core::TimePoint ejectedUntil;
    };

    [[nodiscard]] bool usable(const Health &health, core::TimePoint now) const;
    [[nodiscard]] std::uint32_t slowStartSlots(const Health &health, std::uint32_t slots, core::TimePoint now) const;
    [[nodiscard]] static double load(const Health &health);
    [[nodiscard]] bool mayEject(core::TimePoint now) const;
    void eject(Health &health, core::TimePoint now);

    std::string m_zone;
    std::map<core::InstanceId, Health> m_upstreams;
};

} // namespace oleanderwick::routing
