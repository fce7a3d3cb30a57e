#include "ledger.hpp"

#include <algorithm>

#include <nlohmann/json.hpp>

#include "../core/json_reading.hpp"

namespace oleanderwick::allotment
{

namespace internal
{

std::string limitToText(const LimitId &limit)
{
    return (limit.kind == LimitId::Kind::Team ? "t:" : "i:") + limit.name;
}

LimitId limitFromText(const std::string &text)
{
    constexpr std::size_t prefixLength = 2;
    const LimitId::Kind kind = text.starts_with("i:") ? LimitId::Kind::Instance : LimitId::Kind::Team;
    return LimitId{kind, text.size() > prefixLength ? text.substr(prefixLength) : ""};
}

} // namespace internal

std::uint64_t Ledger::sequence() const noexcept
{
    return m_sequence;
}

config::Version Ledger::version() const noexcept
{
    return m_version;
}

const Ledger::value_type &Ledger::accounts() const noexcept
{
    return m_accounts;
}

std::uint32_t Ledger::held(const core::NodeId &node, const LimitId &limit) const
{
    const auto account = m_accounts.find(node);
    if (account == m_accounts.end()) {
        return 0;
    }
    const auto entry = account->second.find(limit);
    return entry == account->second.end() ? 0 : entry->second;
}

std::uint32_t Ledger::total(const LimitId &limit) const
{
    std::uint32_t sum = 0;
    for (const std::pair<const core::NodeId, Account> &account : m_accounts) {
        const auto entry = account.second.find(limit);
        sum += entry == account.second.end() ? 0 : entry->second;
    }
    return sum;
}

void Ledger::stamp(config::Version version) noexcept
{
    ++m_sequence;
    m_version = std::max(m_version, version);
}

std::uint32_t Ledger::claim(const core::NodeId &node, const LimitId &limit, std::uint32_t count, std::uint32_t capacity)
{
    const std::uint32_t taken = total(limit);
    const std::uint32_t free = capacity > taken ? capacity - taken : 0;
    const std::uint32_t claimed = std::min(count, free);
    if (claimed > 0) {
        m_accounts[node][limit] += claimed;
    }
    return claimed;
}

void Ledger::move(const core::NodeId &from, const core::NodeId &to, const LimitId &limit, std::uint32_t count)
{
    if (count == 0 || from == to) {
        return;
    }
    release(from, limit, count);
    m_accounts[to][limit] += count;
}

void Ledger::release(const core::NodeId &node, const LimitId &limit, std::uint32_t count)
{
    if (count == 0) {
        return;
    }
    OLEANDERWICK_ASSERT(held(node, limit) >= count, "a node releases only permits that it holds");
    Account &account = m_accounts[node];
    const auto entry = account.find(limit);
    entry->second -= count;
    if (entry->second == 0) {
        account.erase(entry);
    }
    if (account.empty()) {
        m_accounts.erase(node);
    }
}

void Ledger::removeNode(const core::NodeId &node)
{
    m_accounts.erase(node);
}

std::string Ledger::toText() const
{
    nlohmann::json accounts = nlohmann::json::object();
    for (const std::pair<const core::NodeId, Account> &account : m_accounts) {
        nlohmann::json permits = nlohmann::json::object();
        for (const std::pair<const LimitId, std::uint32_t> &entry : account.second) {
            permits[internal::limitToText(entry.first)] = entry.second;
        }
        accounts[account.first.text()] = std::move(permits);
    }
    const nlohmann::json json = {{"s", m_sequence}, {"v", m_version}, {"a", std::move(accounts)}};
    return json.dump();
}

absl::StatusOr<Ledger> Ledger::fromText(const std::string &text)
{
    const nlohmann::json json = core::parseJsonOrDiscard(text);
    Ledger ledger;
    try {
        // A reference refuses negative numbers, which a conversion would turn into large ones.
        ledger.m_sequence = json.at("s").get_ref<const std::uint64_t &>();
        ledger.m_version = json.at("v").get_ref<const std::uint64_t &>();
        for (const auto &account : json.at("a").items()) {
            for (const auto &entry : account.value().items()) {
                ledger.m_accounts[core::NodeId{account.key()}][internal::limitFromText(entry.key())] = entry.value().get<std::uint32_t>();
            }
        }
    } catch (const nlohmann::json::exception &error) {
        return absl::InvalidArgumentError(error.what());
    }
    return ledger;
}

} // namespace oleanderwick::allotment
