#include <fstream>
#include <iostream>

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>
#include <cxxopts.hpp>

#include "runner.hpp"

namespace
{

namespace load = oleanderwick::load;

constexpr int exitUsage = 2;

/** Parses `name[,target[,key[,rate[,burst]]]]`; the target is `/` by default. */
absl::StatusOr<load::Stream> parseStream(const std::string &text)
{
    const std::vector<std::string> parts = absl::StrSplit(text, ',');
    load::Stream stream;
    stream.name = parts[0];
    stream.target = parts.size() > 1 ? parts[1] : "/";
    stream.key = parts.size() > 2 ? parts[2] : "";
    const bool rateRead = parts.size() <= 3 || absl::SimpleAtod(parts[3], &stream.perSecond);
    const bool burstRead = parts.size() <= 4 || absl::SimpleAtod(parts[4], &stream.burst);
    if (stream.name.empty() || !rateRead || !burstRead || parts.size() > 5) {
        return absl::InvalidArgumentError(absl::StrCat("stream ", text, ": expected name[,target[,key[,rate[,burst]]]]"));
    }
    return stream;
}

absl::StatusOr<load::Options> parseOptions(const cxxopts::ParseResult &arguments)
{
    load::Options options;
    options.addresses = arguments["to"].as<std::vector<std::string>>();
    options.length = std::chrono::milliseconds{arguments["length-ms"].as<std::int64_t>()};
    options.turn = std::chrono::milliseconds{arguments["turn-ms"].as<std::int64_t>()};
    options.connections = arguments["connections"].as<std::uint32_t>();
    options.seed = arguments["seed"].as<std::uint64_t>();
    options.closedLoop = arguments.count("closed") > 0;
    // Streams are positional, since cxxopts would split a list option at the commas between a stream's fields.
    for (const std::string &text : arguments.unmatched()) {
        const absl::StatusOr<load::Stream> stream = parseStream(text);
        if (!stream.ok()) {
            return stream.status();
        }
        options.streams.push_back(*stream);
    }
    return options;
}

int execute(const cxxopts::ParseResult &arguments)
{
    const absl::StatusOr<load::Options> options = parseOptions(arguments);
    const absl::StatusOr<load::Report> report = options.ok() ? load::run(*options) : options.status();
    if (!report.ok()) {
        std::cerr << "oleanderwick-load: " << report.status().message() << '\n';
        return exitUsage;
    }
    std::cout << load::toText(*report, std::chrono::duration<double>{options->length}.count());
    const std::string folder = arguments["svg"].as<std::string>();
    for (const std::pair<const std::string, load::StreamReport> &stream : *report) {
        if (!folder.empty()) {
            std::ofstream{absl::StrCat(folder, "/", stream.first, ".svg")} << stream.second.toSvg(stream.first);
        }
    }
    return 0;
}

} // namespace

int main(int argc, char **argv)
{
    cxxopts::Options options{"oleanderwick-load",
                             "Sends streams of requests to loopback addresses and reports the responses.\nEach STREAM is name[,target[,key[,rate[,burst]]]]."};
    options.positional_help("STREAM ...");
    options.allow_unrecognised_options();
    options.add_options()("to", "addresses, assigned to the connections in turn", cxxopts::value<std::vector<std::string>>()->default_value("127.0.0.1:8080"));
    options.add_options()("length-ms", "length of the run", cxxopts::value<std::int64_t>()->default_value("5000"));
    options.add_options()("turn-ms", "time for which each stream bursts in its turn; 0 for steady rates", cxxopts::value<std::int64_t>()->default_value("0"));
    options.add_options()("connections", "number of persistent connections", cxxopts::value<std::uint32_t>()->default_value("64"));
    options.add_options()("seed", "seed of the arrivals", cxxopts::value<std::uint64_t>()->default_value("1"));
    options.add_options()("closed", "closed loop: each connection sends its next request as soon as the last has ended");
    options.add_options()("svg", "folder for a plot of each stream", cxxopts::value<std::string>()->default_value(""));
    options.add_options()("h,help", "print this help and exit");
    try {
        const cxxopts::ParseResult arguments = options.parse(argc, argv);
        if (arguments.count("help") > 0) {
            std::cout << options.help();
            return 0;
        }
        return execute(arguments);
    } catch (const cxxopts::exceptions::exception &error) {
        std::cerr << "oleanderwick-load: " << error.what() << '\n';
        return exitUsage;
    }
}
