#pragma once

#include <iostream>
#include <string>

#include "oleanderwick/http/http.hpp"

namespace oleanderwick::stub
{

/**
 * @brief Serves a stub over HTTP until the process receives a stop signal.
 * @param loop Loop to run.
 * @param name Name of the program, for errors.
 * @param listen IP address and port.
 * @param drainTime Time for requests in flight after the signal.
 * @param handler Handles the requests.
 * @return Exit code: 0, or 1 if the address cannot be listened on.
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
