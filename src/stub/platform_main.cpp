#include <iostream>
#include <map>
#include <string>

#include <cxxopts.hpp>
#include <nlohmann/json.hpp>

#include "oleanderwick/http/http.hpp"
#include "serve.hpp"

namespace
{

namespace core = oleanderwick::core;
namespace http = oleanderwick::http;

constexpr const char *rebootSuffix = "/reboot";
constexpr const char *instancePrefix = "/v1/instances/";

/** @brief Stub of the platform's instance service: lists and reboots instances. */
class PlatformStub
{
public:
    PlatformStub(http::Loop &loop, core::Duration rebootTime)
        : m_loop{loop}
        , m_rebootTime{rebootTime}
    {
    }

    void handle(const http::Request &request, const http::Responder &respond)
    {
        const nlohmann::json body = nlohmann::json::parse(request.body, nullptr, false);
        if (request.target == "/v1/instances") {
            respond(http::Response{200, {}, list().dump()});
        } else if (request.target == "/stub/instances" && body.is_object()) {
            setInstances(body);
            respond(http::Response{200, {}, "{}"});
        } else if (request.target.starts_with(instancePrefix) && request.target.ends_with(rebootSuffix) && body.is_object()) {
            const std::string path = request.target.substr(std::string{instancePrefix}.size());
            reboot(path.substr(0, path.size() - std::string{rebootSuffix}.size()), body.value("mark", ""));
            respond(http::Response{200, {}, "{}"});
        } else {
            respond(http::Response{404, {}, "{}"});
        }
    }

private:
    struct Instance {
        std::string health;
        std::string mark;
        bool failsReboot{false}; /**< A reboot leaves it unhealthy. */
    };

    [[nodiscard]] nlohmann::json list() const
    {
        nlohmann::json json = nlohmann::json::object();
        for (const std::pair<const std::string, Instance> &entry : m_instances) {
            json[entry.first] = {{"health", entry.second.health}, {"bootMark", entry.second.mark}};
        }
        return json;
    }

    void setInstances(const nlohmann::json &instances)
    {
        for (const auto &entry : instances.items()) {
            Instance &instance = m_instances[entry.key()];
            instance.failsReboot = entry.value() == "bad";
            instance.health = instance.failsReboot ? "healthy" : entry.value().get<std::string>();
        }
    }

    void reboot(const std::string &name, const std::string &mark)
    {
        Instance &instance = m_instances[name];
        if (instance.mark == mark) {
            return;
        }
        instance.mark = mark;
        instance.health = "rebooting";
        m_loop.after(m_rebootTime, [this, name] {
            Instance &rebooted = m_instances[name];
            rebooted.health = rebooted.failsReboot ? "unhealthy" : "healthy";
        });
    }

    http::Loop &m_loop;
    core::Duration m_rebootTime;
    std::map<std::string, Instance> m_instances;
};

int serve(const std::string &listen, core::Duration rebootTime)
{
    http::Loop loop;
    PlatformStub platform{loop, rebootTime};
    return oleanderwick::stub::serve(
        loop, "oleanderwick-platformstub", listen, core::Duration::zero(), [&platform](const http::Request &request, const http::Responder &respond) {
            platform.handle(request, respond);
        });
}

} // namespace

int main(int argc, char **argv)
{
    cxxopts::Options options{"oleanderwick-platformstub", "Stub of the platform's instance service: lists and reboots instances."};
    options.add_options()("listen", "address", cxxopts::value<std::string>()->default_value("127.0.0.1:9100"));
    options.add_options()("reboot-ms", "time that a reboot takes", cxxopts::value<unsigned>()->default_value("500"));
    options.add_options()("h,help", "print this help and exit");
    try {
        const cxxopts::ParseResult arguments = options.parse(argc, argv);
        if (arguments.count("help") > 0) {
            std::cout << options.help();
            return 0;
        }
        return serve(arguments["listen"].as<std::string>(), std::chrono::milliseconds{arguments["reboot-ms"].as<unsigned>()});
    } catch (const cxxopts::exceptions::exception &error) {
        std::cerr << "oleanderwick-platformstub: " << error.what() << '\n';
        return 2;
    }
}
