#include <csignal>
#include <iostream>

#include <cxxopts.hpp>

#include "store_stub.hpp"

int main(int argc, char **argv)
{
    cxxopts::Options options{"oleanderwick-storestub", "Stub of the platform's key-value service, on loopback."};
    options.add_options()("port", "port to listen on", cxxopts::value<std::uint16_t>()->default_value("2379"));
    options.add_options()("h,help", "print this help and exit");
    try {
        const cxxopts::ParseResult arguments = options.parse(argc, argv);
        if (arguments.count("help") > 0) {
            std::cout << options.help();
            return 0;
        }
        // Blocked before any thread starts, so that only sigwait() receives the signal.
        sigset_t signals;
        sigemptyset(&signals);
        sigaddset(&signals, SIGTERM);
        sigaddset(&signals, SIGINT);
        pthread_sigmask(SIG_BLOCK, &signals, nullptr);
        const oleanderwick::core::MonotonicClock clock;
        oleanderwick::stub::StoreStub stub{clock};
        const oleanderwick::stub::StoreServer server{stub, arguments["port"].as<std::uint16_t>()};
        int signal = 0;
        sigwait(&signals, &signal);
        return 0;
    } catch (const std::exception &error) {
        std::cerr << "oleanderwick-storestub: " << error.what() << '\n';
        return 2;
    }
}
