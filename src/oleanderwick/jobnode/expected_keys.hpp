#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "fetch_result.hpp"

namespace oleanderwick::jobnode
{

/**
 * @brief Decides which keys to read that must be in the store and that a watch has not delivered; performs no I/O.
 *
 * A key is read if it has been expected, and the watch has delivered no change, for a number of checks. A watch that delivers changes does so in
 * their order, so it will deliver the key as well. Checks are counted instead of time, since after a freeze of the process, or while it is busy, timers
 * have expired before the changes that the watch sent meanwhile are processed.
 */
class ExpectedKeys
{
public:
    /** @brief Bounds and delays, the latter in checks. */
    struct Policy {
        std::size_t maxKeys{4096};
        std::size_t maxReads{16}; /**< Maximum number of reads in flight. */
        std::uint32_t grace{5}; /**< Time for the watch to deliver a key; also the delay after a failed read. */
        std::uint32_t maxGrace{40}; /**< Upper limit of the grace while the watch is slow. */
        std::uint32_t graceDecay{500}; /**< Time after which a longer grace is halved. */
        std::uint32_t maxFailures{20}; /**< A key is forgotten after this number of failed reads. */
        std::uint32_t absentDelay{0}; /**< Delay after a read that found nothing, doubled each time; 0 to forget the key instead. */
        std::uint32_t maxAbsentDelay{0}; /**< Upper limit of that delay. */

        [[nodiscard]] bool operator==(const Policy &) const = default;
    };

    /**
     * @brief Creates an empty set.
     * @param policy Bounds and delays.
     */
    explicit ExpectedKeys(const Policy &policy);

    /** @name Modifiers */
    /** @{ */

    /**
     * @brief Expects a key; has no effect if it is expected already.
     * @param key Key that is in the store.
     * @return False if the key was not added since there are too many.
     */
    bool expect(const std::string &key);

    /**
     * @brief Stops expecting a key.
     * @param key Key; ignored if it is not expected. The result of a read in flight is then ignored as well.
     */
    void forget(const std::string &key);

    /** @brief Handles a delivery of changes by the watch. */
    void handleDelivery();

    /** @brief Handles the delivery of a key by the watch after it was read: the watch is slow and not silent, so the grace is doubled for a while. */
    void handleOvertakenRead();

    /**
     * @brief Performs a check; called at a fixed interval while keys are expected.
     * @return Keys to read; the result of each must be passed to `handleRead`.
     */
    [[nodiscard]] std::vector<std::string> check();

    /**
     * @brief Handles the result of a read.
     * @param key Key that was read.
     * @param result Result of the read.
     */
    void handleRead(const std::string &key, FetchResult result);

    /** @} */
    /** @name Queries */
    /** @{ */

    /** @return True if no key is expected. */
    [[nodiscard]] bool empty() const noexcept;

    /**
     * @brief Checks whether a key is expected.
     * @param key Key to look up.
     * @return True if it is expected.
     */
    [[nodiscard]] bool contains(const std::string &key) const;

    /** @return All expected keys, in their order. */
    [[nodiscard]] std::vector<std::string> keys() const;

    /** @} */

private:
    struct Entry {
        std::uint64_t since{0}; /**< Number of the check before the key was expected. */
        std::uint64_t notBefore{0}; /**< Number of the check before which the key is not read again. */
        std::uint32_t failures{0};
        std::uint32_t absentDelay{0};
        bool reading{false};
    };

    Policy m_policy;
    std::uint64_t m_grace{0};
    std::uint64_t m_graceSince{0}; /**< Number of the check after which the grace changed last. */
    std::uint64_t m_check{0};
    std::uint64_t m_deliveredAt{0}; /**< Number of the check after which the watch delivered changes last. */
    std::size_t m_reads{0};
    std::map<std::string, Entry> m_keys;
};

} // namespace oleanderwick::jobnode
