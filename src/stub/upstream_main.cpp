#include <algorithm>
#include <iostream>
#include <string>
#include <unordered_map>

#include <cxxopts.hpp>

#include "oleanderwick/http/http.hpp"
#include "serve.hpp"

namespace
{

namespace core = oleanderwick::core;
namespace http = oleanderwick::http;

constexpr core::Duration drainTime = std::chrono::seconds{2};

/** @brief Upstream that responds with its name, and counts the runs of each request id. */
class Upstream
{
public:
    Upstream(http::Loop &loop, std::string name, core::Duration delay)
        : m_loop{loop}
        , m_name{std::move(name)}
        , m_delay{delay}
    {
    }

    void handle(const http::Request &request, const http::Responder &respond)
    {
        if (request.target == "/stub/counts") {
            respond(http::Response{200, {}, counts()});
            return;
        }
        const std::string *id = http::findHeader(request.headers, http::requestIdHeader);
        m_repeatedRequests += id != nullptr && ++m_runs[*id] == 2 ? 1 : 0;
        ++m_total;
        ++m_running;
        m_peakRunning = std::max(m_peakRunning, m_running);
        http::Response response{200, {{"Content-Type", "text/plain"}}, m_name + " " + request.method + " " + request.target + "\n" + request.body};
        if (id != nullptr) {
            response.headers.push_back(http::Header{http::requestIdHeader, *id});
        }
        if (m_delay == core::Duration::zero()) {
            --m_running;
            respond(std::move(response));
            return;
        }
        m_loop.after(m_delay, [this, respond, answer = std::move(response)] {
            --m_running;
            respond(answer);
        });
    }

private:
    [[nodiscard]] std::string counts() const
    {
        return "{\"runs\":" + std::to_string(m_total) + ",\"twice\":" + std::to_string(m_repeatedRequests) + ",\"peak\":" + std::to_string(m_peakRunning)
            + "}\n";
    }

    http::Loop &m_loop;
    std::string m_name;
    core::Duration m_delay;
    std::uint64_t m_total{0};
    std::uint64_t m_repeatedRequests{0};
    std::uint64_t m_running{0};
    std::uint64_t m_peakRunning{0};
    std::unordered_map<std::string, std::uint64_t> m_runs;
};

int serve(const std::string &listen, const std::string &name, core::Duration delay)
{
    http::Loop loop;
    Upstream upstream{loop, name, delay};
    return oleanderwick::stub::serve(
        loop, "oleanderwick-upstreamstub", listen, drainTime, [&upstream](const http::Request &request, const http::Responder &respond) {
            upstream.handle(request, respond);
        });
}

} // namespace

int main(int argc, char **argv)
{
    cxxopts::Options options{"oleanderwick-upstreamstub", "Stub of an upstream."};
    options.add_options()("listen", "address", cxxopts::value<std::string>()->default_value("127.0.0.1:9000"));
    options.add_options()("name", "name in the responses", cxxopts::value<std::string>()->default_value("upstream"));
    options.add_options()("delay-ms", "time that each request takes", cxxopts::value<unsigned>()->default_value("0"));
    options.add_options()("h,help", "print this help and exit");
    try {
        const cxxopts::ParseResult arguments = options.parse(argc, argv);
        if (arguments.count("help") > 0) {
            std::cout << options.help();
            return 0;
        }
        const core::Duration delay = std::chrono::milliseconds{arguments["delay-ms"].as<unsigned>()};
        return serve(arguments["listen"].as<std::string>(), arguments["name"].as<std::string>(), delay);
    } catch (const cxxopts::exceptions::exception &error) {
        std::cerr << "oleanderwick-upstreamstub: " << error.what() << '\n';
        return 2;
    }
}
