#pragma once

#include <iostream>
#include <string>

#include "oleanderwick/http/http.hpp"

namespace oleanderwick::stub
{

/**
 * @brief Serves a stand-in over HTTP until the process is asked to stop.
 * @param loop Loop to run.
 * @param name Name of the program, for errors.
 * @param listen IP number and port.
 * @param drainTime Time for requests under way after the signal.
 * @param handler Takes the requests.
 * @return Exit code.
 */
inline int serve(http::Loop &loop, const std::string &name, const std::string &listen, core::Duration drainTime, http::Handler handler)
{
    http::Server server{loop, http::ServerLimits{}, std::move(handler)};
    const absl::StatusOr<std::uint16_t> port = server.listen(listen);
    if (!port.ok()) {
        std::cerr << name << ": " << port.status().message() << '\n';
        return 1;
    }
    loop.onStopSignal([&] {
        server.close();
        loop.after(drainTime, [&loop] {
            loop.stop();
        });
    });
    loop.run();
    return 0;
}

} // namespace oleanderwick::stub
