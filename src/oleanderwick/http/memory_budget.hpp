#pragma once

#include <atomic>
#include <cstddef>
#include <memory>

namespace oleanderwick::http
{

/** @brief Memory that messages may hold together. Thread-safe. */
class MemoryBudget
{
public:
    /** @brief Memory that one message holds; returned by the destructor. */
    class Share
    {
    public:
        /**
         * @brief Constructs a share that holds nothing.
         * @param budget Budget that it belongs to.
         * @param mayUseReserve True if it may also use the reserve when it is large.
         */
        Share(std::shared_ptr<MemoryBudget> budget, bool mayUseReserve);
        ~Share();
        Share(const Share &) = delete;
        Share &operator=(const Share &) = delete;

        /**
         * @brief Changes what the message holds.
         * @param bytes Memory of the message.
         * @return False if there is no room for more; the share is then as before.
         */
        [[nodiscard]] bool resize(std::size_t bytes);

    private:
        std::shared_ptr<MemoryBudget> m_budget;
        bool m_mayUseReserve;
        std::size_t m_bytes{0};
    };

    /**
     * @brief Constructs a budget, a quarter of which is reserved for small messages.
     * @param limitBytes Memory of all messages together.
     */
    explicit MemoryBudget(std::size_t limitBytes) noexcept;

    /** @return Memory that messages hold. */
    [[nodiscard]] std::size_t usedBytes() const noexcept;

    /** Messages up to this size are not counted, because each exchange has room for them. */
    static constexpr std::size_t minCountedBytes = 16U << 10U;
    /** Messages up to this size may use the reserve. */
    static constexpr std::size_t maxSmallBytes = 64U << 10U;

private:
    std::size_t m_limitBytes;
    std::atomic<std::size_t> m_usedBytes{0};
};

} // namespace oleanderwick::http
