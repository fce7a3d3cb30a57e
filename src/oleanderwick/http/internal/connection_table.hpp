#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <list>
#include <map>
#include <set>
#include <string>
#include <utility>

namespace oleanderwick::http::internal
{

class Session;

/** @brief What a connection is doing, in the order in which a client's connections are closed to make room. */
enum class ConnectionPhase : std::uint8_t {
    Closing, /**< Refused: what the client still sends is dropped. */
    Waiting, /**< Idle, or the headers of its request are not complete. */
    Receiving, /**< The body of its request is not complete. */
    Serving, /**< Its request is handled, or the response is being sent; such a connection is never closed to make room. */
};

/** @brief What the connections of a listener may use together. */
struct ConnectionLimits {
    std::size_t maxConnections{};
    std::size_t maxServing{}; /**< Below `maxConnections`, so that a request over it can still be refused. */
    std::size_t maxHeldBytes{}; /**< Memory that incomplete and unanswered requests hold. */

    [[nodiscard]] bool operator==(const ConnectionLimits &) const = default;
};

/**
 * @brief Connections of a listener, with what each is doing and holds; chooses those that have to go when room is short.
 *
 * The client with the most connections, or bytes, goes first. Not thread-safe.
 */
class ConnectionTable
{
    struct Client;

public:
    /** @brief One connection; its destructor removes it from the table. */
    class Entry
    {
    public:
        /**
         * @brief Adds a connection, which waits for its first request.
         * @param table Table to add it to; has to outlive the entry.
         * @param client Address of the client, without its port.
         * @param session Session of the connection, which a choice leads to.
         */
        Entry(ConnectionTable &table, const std::string &client, Session *session);
        ~Entry();
        Entry(const Entry &) = delete;
        Entry &operator=(const Entry &) = delete;

        /** @return Session of the connection. */
        [[nodiscard]] Session *session() const noexcept;

        /** @return What the connection is doing. */
        [[nodiscard]] ConnectionPhase phase() const noexcept;

        /** @return Bytes that it holds. */
        [[nodiscard]] std::size_t heldBytes() const noexcept;

        /**
         * @brief Changes what the connection is doing; it becomes the newest of its client in that phase.
         * @param phase New phase.
         */
        void enter(ConnectionPhase phase);

        /**
         * @brief Changes what the connection holds.
         * @param bytes Bytes of its request and response.
         */
        void hold(std::size_t bytes);

    private:
        friend class ConnectionTable;

        ConnectionTable &m_table;
        Client &m_client;
        Session *m_session;
        std::uint64_t m_number;
        ConnectionPhase m_phase{ConnectionPhase::Waiting};
        std::size_t m_heldBytes{0};
        std::list<Entry *>::iterator m_position;
    };

    /**
     * @brief Constructs an empty table.
     * @param limits Limits that the choices refer to.
     */
    explicit ConnectionTable(const ConnectionLimits &limits);
    ~ConnectionTable() = default;
    ConnectionTable(const ConnectionTable &) = delete;
    ConnectionTable &operator=(const ConnectionTable &) = delete;

    /**
     * @brief Replaces the limits.
     * @param limits New limits; connections beyond them stay until they are closed.
     */
    void setLimits(const ConnectionLimits &limits) noexcept;

    /** @return Number of connections. */
    [[nodiscard]] std::size_t size() const noexcept;

    /** @return Number of connections in the phase `Serving`. */
    [[nodiscard]] std::size_t serving() const noexcept;

    /** @return Bytes that all connections hold. */
    [[nodiscard]] std::size_t heldBytes() const noexcept;

    /** @return True if there is room for another connection. */
    [[nodiscard]] bool hasRoom() const noexcept;

    /** @return True if another request may be served. */
    [[nodiscard]] bool mayServe() const noexcept;

    /** @return True if the connections hold more than the limit. */
    [[nodiscard]] bool isOverHeldBytes() const noexcept;

    /**
     * @brief Chooses the connection to close so that another one has room.
     * @return The connection that owes least to the client with the most connections, and the oldest of these; null if all are being served.
     */
    [[nodiscard]] Entry *chooseToClose() const;

    /**
     * @brief Chooses the connection whose request to give up because the connections hold too much.
     * @return The largest one, and the oldest of these, of the client whose incomplete requests hold most; null if none holds anything.
     */
    [[nodiscard]] Entry *chooseToGiveUp() const;

private:
    struct LargestFirst {
        [[nodiscard]] bool operator()(const Entry *left, const Entry *right) const noexcept;
    };

    /** @brief Connections of one client. */
    struct Client {
        std::string address;
        std::size_t connections{0};
        std::size_t releasableBytes{0}; /**< Held by connections that are not being served. */
        std::array<std::list<Entry *>, 4> byPhase; /**< The oldest first. */
        std::set<Entry *, LargestFirst> releasable; /**< Those that hold any of the releasable bytes. */
    };

    [[nodiscard]] Client &clientAt(const std::string &address);
    void add(Entry &entry);
    void remove(Entry &entry);
    /** Removes and adds what an entry holds from the sums, around a change of its phase or bytes. */
    void subtractHeld(Entry &entry);
    void addHeld(Entry &entry);

    ConnectionLimits m_limits;
    std::map<std::string, Client> m_clients;
    std::set<std::pair<std::size_t, Client *>> m_byConnections;
    std::set<std::pair<std::size_t, Client *>> m_byReleasableBytes;
    std::uint64_t m_lastNumber{0};
    std::size_t m_size{0};
    std::size_t m_serving{0};
    std::size_t m_heldBytes{0};
};

} // namespace oleanderwick::http::internal
