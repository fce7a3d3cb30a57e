#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

#include <absl/status/statusor.h>

#include "../config/config.hpp"
#include "../core/core.hpp"
#include "fwd.hpp"

namespace oleanderwick::allotment
{

/** @brief Identifies a fleet-wide limit on concurrent use. */
struct LimitId {
    /** @brief Kind of limit. */
    enum class Kind : std::uint8_t {
        Team, /**< Upper limit of a team. */
        Instance, /**< Slots of an instance. */
    };

    Kind kind{Kind::Team};
    std::string name;

    [[nodiscard]] auto operator<=>(const LimitId &) const = default;
    [[nodiscard]] bool operator==(const LimitId &) const = default;
};

/**
 * @brief Shard of the quota ledger: the permits of the shard's limits that each node holds, kept as one value in the store.
 *
 * Every write stores a new value with a higher sequence; the store's compare-and-swap puts the writes in order.
 */
class Ledger
{
public:
    using value_type = std::map<core::NodeId, Account>;

    /** @return Number of writes so far. */
    [[nodiscard]] std::uint64_t sequence() const noexcept;
    /** @return Highest configuration version that a writer has used. */
    [[nodiscard]] config::Version version() const noexcept;
    /** @return Accounts of all nodes that hold permits. */
    [[nodiscard]] const value_type &accounts() const noexcept;

    /**
     * @brief Returns the number of permits of a limit that a node holds.
     * @param node Node to look up.
     * @param limit Limit to look up.
     * @return Permits held; zero if the node has no account.
     */
    [[nodiscard]] std::uint32_t held(const core::NodeId &node, const LimitId &limit) const;

    /**
     * @brief Adds up the permits of a limit over all nodes.
     * @param limit Limit to look up.
     * @return Permits held by all nodes together.
     */
    [[nodiscard]] std::uint32_t total(const LimitId &limit) const;

    /**
     * @brief Increments the sequence for the next write and records the writer's configuration version.
     * @param version Configuration version of the writer; one below the recorded version leaves that unchanged.
     */
    void stamp(config::Version version) noexcept;

    /**
     * @brief Adds free permits to the account of a node.
     * @param node Node that claims them.
     * @param limit Limit to claim permits of.
     * @param count Permits requested.
     * @param capacity Maximum number of permits of the limit.
     * @return Permits claimed; fewer than requested if the limit leaves fewer free.
     */
    std::uint32_t claim(const core::NodeId &node, const LimitId &limit, std::uint32_t count, std::uint32_t capacity);

    /**
     * @brief Transfers permits between two nodes.
     * @param from Node whose account is lowered; has to hold them.
     * @param to Node whose account is raised.
     * @param limit Limit of the permits.
     * @param count Permits to transfer.
     */
    void move(const core::NodeId &from, const core::NodeId &to, const LimitId &limit, std::uint32_t count);

    /**
     * @brief Releases permits of a node, which makes them free to claim.
     * @param node Node whose account is lowered; has to hold them.
     * @param limit Limit of the permits.
     * @param count Permits to release.
     */
    void release(const core::NodeId &node, const LimitId &limit, std::uint32_t count);

    /**
     * @brief Removes the account of a node with all its permits.
     * @param node Node to remove; one without an account is ignored.
     */
    void removeNode(const core::NodeId &node);

    [[nodiscard]] bool operator==(const Ledger &) const = default;

    /** @return Ledger as JSON, in the format that `fromText` parses. */
    [[nodiscard]] std::string toText() const;

    /**
     * @brief Parses a ledger.
     * @param text JSON as written by `toText`.
     * @return The ledger, or `InvalidArgument` if the text is malformed or a field is missing.
     */
    [[nodiscard]] static absl::StatusOr<Ledger> fromText(const std::string &text);

private:
    std::uint64_t m_sequence{0};
    config::Version m_version{0};
    value_type m_accounts;
};

} // namespace oleanderwick::allotment
