#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include <absl/status/statusor.h>

#include "fwd.hpp"
#include "memory_budget.hpp"

namespace oleanderwick::http
{

/** @brief One header field. */
struct Header {
    std::string name;
    std::string value;

    [[nodiscard]] bool operator==(const Header &) const = default;
};

/** @brief Complete HTTP request. */
struct Request {
    std::string method{"GET"};
    std::string target{"/"};
    std::vector<Header> headers;
    std::string body;

    [[nodiscard]] bool operator==(const Request &) const = default;
};

/** @brief Complete HTTP response. */
struct Response {
    int status{200};
    std::vector<Header> headers;
    std::string body;
    std::shared_ptr<const MemoryBudget::Share> memory{nullptr}; /**< Memory that the response counts with until its last copy is gone; may be null. */

    [[nodiscard]] bool operator==(const Response &) const = default;
};

/** @brief IP address and port. */
struct Endpoint {
    std::string host;
    std::uint16_t port{};

    [[nodiscard]] bool operator==(const Endpoint &) const = default;
};

/**
 * @brief Finds the first header with a name, ignoring case.
 * @param headers Headers to search.
 * @param name Name of the header.
 * @return Value of the header, or null if there is none.
 */
[[nodiscard]] const std::string *findHeader(const std::vector<Header> &headers, std::string_view name);

/**
 * @brief Removes the headers that apply to one connection only (RFC 9110, 7.6.1), also those that `Connection` lists.
 *
 * Removes `Content-Length` as well, because the length is written again when the message is forwarded, and `Expect`, because the server has answered it.
 * @param headers Headers to filter.
 */
void removeHopByHop(std::vector<Header> &headers);

/**
 * @brief Parses an address and port.
 * @param text Address and port such as `127.0.0.1:80`; the address itself is not validated.
 * @return The endpoint, or `InvalidArgument` if the address is empty or the port is not valid.
 */
[[nodiscard]] absl::StatusOr<Endpoint> parseEndpoint(const std::string &text);

} // namespace oleanderwick::http
