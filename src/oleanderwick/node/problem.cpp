#include "problem.hpp"

#include <algorithm>
#include <chrono>

#include <nlohmann/json.hpp>

namespace oleanderwick::node
{

http::Response problem(const core::Refusal &refusal)
{
    const nlohmann::json body = {{"status", refusal.status}, {"outcome", core::toText(refusal.outcome)}, {"reason", refusal.reason}};
    http::Response response{refusal.status, {{"Content-Type", "application/problem+json"}}, body.dump()};
    if (refusal.retryAfter > core::Duration::zero()) {
        const std::int64_t seconds = std::chrono::ceil<std::chrono::seconds>(refusal.retryAfter).count();
        response.headers.push_back(http::Header{"Retry-After", std::to_string(seconds)});
    }
    return response;
}

http::Response operatorProblem(int status, const std::string &reason, const std::string &detail)
{
    const nlohmann::json body = {{"status", status}, {"reason", reason}, {"detail", detail}};
    return http::Response{status, {{"Content-Type", "application/problem+json"}}, body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace)};
}

http::Response jsonResponse(std::string body)
{
    return http::Response{200, {{"Content-Type", "application/json"}}, std::move(body)};
}

} // namespace oleanderwick::node
