#pragma once

#include <memory>
#include <optional>

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include "message_parser.hpp"
#include "server_state.hpp"

namespace oleanderwick::http::internal
{

/** @brief One connection, which handles one request at a time. */
class Session : public std::enable_shared_from_this<Session>
{
public:
    /**
     * @brief Constructs the session of an accepted connection.
     * @param socket Connection.
     * @param client Address of the client, without its port.
     * @param server Listener that accepted it.
     */
    Session(boost::asio::ip::tcp::socket socket, const std::string &client, std::shared_ptr<ServerState> server);

    /** @return True from the first byte of a request until its response is sent. */
    [[nodiscard]] bool isBusy() const noexcept;

    /** @brief Waits for the first request. */
    void start();

    /** @brief Closes the connection. */
    void close();

    /** @brief Closes the connection so that another one has room; a request that has begun is refused, as far as that is possible at once. */
    void closeForRoom();

    /** @brief Frees what the incomplete request holds, and refuses it. */
    void giveUp();

private:
    /** @brief Why a request is refused without being handled. */
    struct Refusal {
        int status;
        const char *reason;
        std::string detail;
        bool mayReturn; /**< The same request may be accepted later. */
    };

    /** Refusal of a request for which there is no room now. */
    [[nodiscard]] static Refusal noRoom();
    [[nodiscard]] static Response toResponse(const Refusal &refusal);
    void setTimeout(core::Duration timeout);
    void waitForRequest();
    void read(std::size_t maxBytes);
    void onRead(const error_code &error, std::size_t bytes);
    void startRequest();
    void parse();
    void onHeader();
    void onRequest();
    /** Reports what the connection holds, and refuses the request if there is no room for it. */
    [[nodiscard]] bool reserve(std::size_t bytes);
    void send(Response response);
    void onSent(bool closing);
    /** Drops what a refused client still sends, because closing the connection before would destroy the refusal on its way. */
    void linger();
    void onDropped(const error_code &error, std::size_t bytes);
    void refuse(const Refusal &refusal);
    void refuseMalformed(const error_code &error);
    void refuseForRoom();

    boost::asio::ip::tcp::socket m_stream;
    std::shared_ptr<ServerState> m_server;
    std::optional<ConnectionTable::Entry> m_entry; /**< None once the connection is closed. */
    Deadlines::Timer m_timer;
    beast::flat_buffer m_buffer;
    std::optional<MessageParser<true>> m_parser;
    std::optional<beast::http::response<beast::http::string_body>> m_response;
    std::optional<beast::http::response_serializer<beast::http::string_body>> m_serializer;
    std::shared_ptr<const MemoryBudget::Share> m_responseMemory;
    bool m_busy{false};
    bool m_isGivenUp{false}; /**< The operation in progress was cancelled, and the request is to be refused. */
    bool m_isRefused{false}; /**< The refusal is the last response, and what follows the refused request is dropped. */
    std::size_t m_droppedBytes{0};
    bool m_keepAlive{true};
    bool m_isHead{false};
    unsigned m_version{11};
};

} // namespace oleanderwick::http::internal
