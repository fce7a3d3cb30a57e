#include <cstdlib>
#include <fstream>
#include <iostream>
#include <iterator>

#include <cxxopts.hpp>

#include "oleanderwick/node/node.hpp"
#include "oleanderwick/settings/job_settings.hpp"
#include "oleanderwick/settings/settings.hpp"
#include "oleanderwick/telemetry/telemetry.hpp"
#include "platform/run.hpp"

namespace
{

constexpr const char *version = "0.1.0";
constexpr int exitUsage = 2;

std::string readFile(const std::string &path)
{
    std::ifstream file{path};
    return std::string{std::istreambuf_iterator<char>{file}, std::istreambuf_iterator<char>{}};
}

/** Runs a node that schedules jobs for a platform. */
int startScheduler(const std::string &path, const std::string &text, bool checkOnly)
{
    const absl::StatusOr<oleanderwick::settings::JobSettings> settings = oleanderwick::settings::parseJobSettings(text);
    if (!settings.ok()) {
        std::cerr << path << ":\n" << settings.status().message() << '\n';
        return exitUsage;
    }
    if (checkOnly) {
        std::cout << path << ": ok\n";
        return EXIT_SUCCESS;
    }
    const absl::Status ended = oleanderwick::platform::run(*settings);
    if (!ended.ok()) {
        std::cerr << ended.message() << '\n';
        return EXIT_FAILURE;
    }
    return EXIT_SUCCESS;
}

int start(const std::string &path, bool checkOnly)
{
    const std::string text = readFile(path);
    if (oleanderwick::settings::isJobSettings(text)) {
        return startScheduler(path, text, checkOnly);
    }
    const absl::StatusOr<oleanderwick::settings::Settings> settings = oleanderwick::settings::load(path);
    if (!settings.ok()) {
        std::cerr << path << ":\n" << settings.status().message() << '\n';
        return exitUsage;
    }
    if (checkOnly) {
        std::cout << path << ": ok\n";
        return EXIT_SUCCESS;
    }
    oleanderwick::telemetry::startLog();
    oleanderwick::node::Node node{*settings};
    const absl::Status ended = node.run();
    if (!ended.ok()) {
        std::cerr << ended.message() << '\n';
        return EXIT_FAILURE;
    }
    return EXIT_SUCCESS;
}

} // namespace

int main(int argc, char **argv)
{
    cxxopts::Options options{"oleanderwickd", "Entry node of a fleet: takes callers' requests and passes them to upstreams."};
    options.add_options()("c,config", "settings file (YAML)", cxxopts::value<std::string>());
    options.add_options()("check", "check the settings and stop");
    options.add_options()("version", "print the version and stop");
    options.add_options()("h,help", "print this help and stop");
    try {
        const cxxopts::ParseResult arguments = options.parse(argc, argv);
        if (arguments.count("help") > 0) {
            std::cout << options.help();
            return EXIT_SUCCESS;
        }
        if (arguments.count("version") > 0) {
            std::cout << "oleanderwickd " << version << '\n';
            return EXIT_SUCCESS;
        }
        if (arguments.count("config") == 0) {
            std::cerr << "oleanderwickd: --config is needed; see --help\n";
            return exitUsage;
        }
        return start(arguments["config"].as<std::string>(), arguments.count("check") > 0);
    } catch (const cxxopts::exceptions::exception &error) {
        std::cerr << "oleanderwickd: " << error.what() << '\n';
        return exitUsage;
    }
}
