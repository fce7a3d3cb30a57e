#pragma once

#include <memory>
#include <random>
#include <vector>

#include <catch2/catch.hpp>
#include <catch2/trompeloeil.hpp>

#include "oleanderwick/store/memory_store.hpp"

namespace oleanderwick::test
{

class MockStore final : public store::Store
{
public:
    MAKE_MOCK1(read, absl::StatusOr<std::optional<store::KeyValue>>(const std::string &), override);
    MAKE_MOCK1(revision, absl::StatusOr<store::Revision>(const std::string &), override);
    MAKE_MOCK1(keys, absl::StatusOr<std::vector<std::string>>(const std::string &), override);
    MAKE_MOCK4(compareAndSwap, absl::StatusOr<store::SwapResult>(const std::string &, store::Revision, const std::string &, store::LeaseId), override);
    MAKE_MOCK1(grantLease, absl::StatusOr<store::LeaseId>(core::Duration), override);
    MAKE_MOCK1(keepAlive, absl::Status(store::LeaseId), override);
    MAKE_MOCK1(revokeLease, absl::Status(store::LeaseId), override);
    MAKE_MOCK3(watch, absl::Status(const std::string &, store::Revision, const OnChange &), override);
};

/** Forwards calls to a real store. Fails two of three swaps on average with DeadlineExceeded, either before or after the real store has done them. */
class LossyStore
{
public:
    LossyStore(store::Store &real, std::uint64_t seed)
        : m_real{real}
        , m_random{seed}
    {
        m_expectations.push_back(NAMED_ALLOW_CALL(mock, grantLease(trompeloeil::_)).RETURN(m_real.grantLease(_1)));
        m_expectations.push_back(NAMED_ALLOW_CALL(mock, read(trompeloeil::_)).RETURN(m_real.read(_1)));
        m_expectations.push_back(
            NAMED_ALLOW_CALL(mock, compareAndSwap(trompeloeil::_, trompeloeil::_, trompeloeil::_, trompeloeil::_)).RETURN(swap(_1, _2, _3, _4)));
    }

    MockStore mock;

private:
    absl::StatusOr<store::SwapResult> swap(const std::string &key, store::Revision expected, const std::string &value, store::LeaseId lease)
    {
        switch (m_random() % 3) {
        case 0:
            return absl::DeadlineExceededError("swap lost before it was done");
        case 1:
            (void)m_real.compareAndSwap(key, expected, value, lease);
            return absl::DeadlineExceededError("response lost after the swap was done");
        default:
            return m_real.compareAndSwap(key, expected, value, lease);
        }
    }

    store::Store &m_real;
    std::mt19937_64 m_random;
    std::vector<std::unique_ptr<trompeloeil::expectation>> m_expectations;
};

} // namespace oleanderwick::test
