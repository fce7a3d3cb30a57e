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

/** @brief Thing that at most N may use at once over the fleet. */
struct Unit {
    /** @brief Kind of bound. */
    enum class Kind : std::uint8_t {
        Team, /**< Upper limit of a team. */
        Instance, /**< Slots of an instance. */
    };

    Kind kind{Kind::Team};
    std::string name;

    [[nodiscard]] auto operator<=>(const Unit &) const = default;
    [[nodiscard]] bool operator==(const Unit &) const = default;
};

/**
 * @brief Division of units among nodes, kept as one value of the store.
 *
 * Every change makes a new value with a larger sequence; the store's compare-and-swap orders them.
 */
class Ledger
{
public:
    using value_type = std::map<core::NodeId, Account>;

    /** @return Number of changes so far. */
    [[nodiscard]] std::uint64_t sequence() const noexcept;
    /** @return Largest configuration number that a writer went by. */
    [[nodiscard]] config::Version version() const noexcept;
    /** @return Accounts of all nodes. */
    [[nodiscard]] const value_type &accounts() const noexcept;

    /**
     * @brief Tells what a node holds of a unit.
     * @param node Node asked for.
     * @param unit Unit asked for.
     * @return Its rights.
     */
    [[nodiscard]] std::uint32_t held(const core::NodeId &node, const Unit &unit) const;

    /**
     * @brief Adds up the rights to a unit.
     * @param unit Unit asked for.
     * @return Rights of all nodes together.
     */
    [[nodiscard]] std::uint32_t total(const Unit &unit) const;

    /**
     * @brief Marks the value as written once more.
     * @param version Configuration number of the writer; a smaller one than before is kept out.
     */
    void stamp(config::Version version) noexcept;

    /**
     * @brief Hands rights out that nobody holds.
     * @param node Node that gets them.
     * @param unit Unit to claim.
     * @param count Rights asked for.
     * @param capacity Bound of the unit.
     * @return Rights that were claimed.
     */
    std::uint32_t claim(const core::NodeId &node, const Unit &unit, std::uint32_t count, std::uint32_t capacity);

    /**
     * @brief Moves rights.
     * @param from Node that gives; has to hold them.
     * @param to Node that gets them.
     * @param unit Unit to move.
     * @param count Rights to move.
     */
    void move(const core::NodeId &from, const core::NodeId &to, const Unit &unit, std::uint32_t count);

    /**
     * @brief Takes rights out of an account.
     * @param node Node that gives them up; has to hold them.
     * @param unit Unit to lower.
     * @param count Rights to take.
     */
    void release(const core::NodeId &node, const Unit &unit, std::uint32_t count);

    /**
     * @brief Removes all rights of a node.
     * @param node Node whose account ends.
     */
    void drop(const core::NodeId &node);

    [[nodiscard]] bool operator==(const Ledger &) const = default;

    /** @return JSON text of the ledger. */
    [[nodiscard]] std::string toText() const;

    /**
     * @brief Reads a ledger.
     * @param text JSON text.
     * @return The ledger, or `InvalidArgument`.
     */
    [[nodiscard]] static absl::StatusOr<Ledger> fromText(const std::string &text);

private:
    std::uint64_t m_sequence{0};
    config::Version m_version{0};
    value_type m_accounts;
};

} // namespace oleanderwick::allotment
