#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include <absl/status/statusor.h>

#include "../core/core.hpp"
#include "message.hpp"

namespace oleanderwick::http
{

namespace internal
{
class ClientState;
} // namespace internal

/** @brief Blocking client of one server, not thread-safe. Reuses its connection for the next call. */
class Client
{
public:
    /** @brief Called with each line of a stream, and with `std::nullopt` every 0.5 s without data; returns false to end the stream. */
    using OnLine = std::function<bool(const std::optional<std::string> &)>;

    /**
     * @brief Constructs a client, which connects with the first call.
     * @param endpoint Address of the server.
     */
    explicit Client(Endpoint endpoint);
    ~Client();
    Client(Client &&) noexcept;
    Client &operator=(Client &&) noexcept;

    /**
     * @brief Sends a request and waits for the complete response.
     * @param request Request to send.
     * @param timeout Maximum time for connecting, sending and receiving.
     * @return The response; `Unavailable` if nothing was sent; `DeadlineExceeded` if the server may have received the request;
     * `InvalidArgument` if the host is not an IP address.
     */
    [[nodiscard]] absl::StatusOr<Response> exchange(const Request &request, core::Duration timeout);

    /**
     * @brief Sends a request on a new connection and reads the response line by line as it arrives.
     * @param request Request to send.
     * @param timeout Maximum time until the response starts.
     * @param onLine Called with each line that is not empty.
     * @return Ok if `onLine` ended the stream; `ResourceExhausted` if a line was too long; `Unavailable` if the server refused or ended
     * the stream, or it broke; `InvalidArgument` if the host is not an IP address.
     */
    [[nodiscard]] absl::Status stream(const Request &request, core::Duration timeout, const OnLine &onLine);

private:
    std::unique_ptr<internal::ClientState> m_state;
};

} // namespace oleanderwick::http
