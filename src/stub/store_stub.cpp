#include "store_stub.hpp"

#include <chrono>
#include <thread>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include "oleanderwick/store/base64.hpp"
#include "thread_server.hpp"

namespace oleanderwick::stub
{

namespace internal
{

namespace asio = boost::asio;
namespace beast = boost::beast;

constexpr core::Duration watchPollInterval = std::chrono::milliseconds{100};
constexpr int grpcNotFound = 5;

std::uint64_t numberOf(const nlohmann::json &json, const char *field)
{
    const nlohmann::json value = json.value(field, nlohmann::json(0U));
    if (value.is_string()) {
        return std::stoull(value.get<std::string>());
    }
    return value.get<std::uint64_t>();
}

std::string bytesOf(const nlohmann::json &json, const char *field)
{
    return store::fromBase64(json.value(field, "")).value_or("");
}

} // namespace internal

StoreStub::StoreStub(const core::Clock &clock)
    : m_clock{clock}
{
}

StoreFaults StoreStub::faults() const
{
    const std::lock_guard<std::mutex> lock{m_mutex};
    return m_faults;
}

StoreCounts StoreStub::counts() const
{
    const std::lock_guard<std::mutex> lock{m_mutex};
    return m_counts;
}

void StoreStub::setFaults(const StoreFaults &faults)
{
    const std::lock_guard<std::mutex> lock{m_mutex};
    m_faults = faults;
}

nlohmann::json StoreStub::header() const
{
    return {{"cluster_id", "1"}, {"member_id", "1"}, {"revision", std::to_string(m_revision)}, {"raft_term", "1"}};
}

nlohmann::json StoreStub::entryJson(const std::string &key, const Entry &entry, bool keysOnly) const
{
    nlohmann::json json = {{"key", store::toBase64(key)},
                           {"mod_revision", std::to_string(entry.revision)},
                           {"version", std::to_string(entry.version)},
                           {"lease", std::to_string(entry.lease)}};
    if (!keysOnly) {
        json["value"] = store::toBase64(entry.value);
    }
    return json;
}

nlohmann::json StoreStub::range(const nlohmann::json &body) const
{
    const std::string first = internal::bytesOf(body, "key");
    const std::string last = internal::bytesOf(body, "range_end");
    const bool keysOnly = body.value("keys_only", false);
    nlohmann::json entries = nlohmann::json::array();
    for (auto entry = m_entries.lower_bound(first); entry != m_entries.end(); ++entry) {
        const bool within = last.empty() ? entry->first == first : entry->first < last;
        if (!within) {
            break;
        }
        entries.push_back(entryJson(entry->first, entry->second, keysOnly));
    }
    nlohmann::json answer = {{"header", header()}, {"count", std::to_string(entries.size())}};
    if (!entries.empty()) {
        answer["kvs"] = std::move(entries);
    }
    return answer;
}

absl::StatusOr<nlohmann::json> StoreStub::compareAndSwap(const nlohmann::json &body)
{
    const nlohmann::json &compare = body.at("compare").at(0);
    const std::string key = internal::bytesOf(compare, "key");
    const auto found = m_entries.find(key);
    const std::uint64_t revision = found == m_entries.end() ? 0 : found->second.revision;
    if (revision != internal::numberOf(compare, "mod_revision")) {
        const nlohmann::json readResult = {{"response_range", range(body.at("failure").at(0).at("request_range"))}};
        return nlohmann::json{{"header", header()}, {"responses", nlohmann::json::array({readResult})}};
    }
    const nlohmann::json &put = body.at("success").at(0).at("request_put");
    const std::uint64_t lease = internal::numberOf(put, "lease");
    if (lease != 0 && !m_leases.contains(lease)) {
        return absl::NotFoundError("etcdserver: requested lease not found");
    }
    Entry &entry = m_entries[key];
    entry = Entry{internal::bytesOf(put, "value"), ++m_revision, entry.version + 1, lease};
    m_changed.notify_all();
    const nlohmann::json done = {{"response_put", {{"header", header()}}}};
    return nlohmann::json{{"header", header()}, {"succeeded", true}, {"responses", nlohmann::json::array({done})}};
}

void StoreStub::removeLease(std::uint64_t id)
{
    m_leases.erase(id);
    const std::size_t removed = std::erase_if(m_entries, [id](const std::pair<const std::string, Entry> &entry) {
        return entry.second.lease == id;
    });
    m_revision += removed > 0 ? 1 : 0;
}

void StoreStub::removeExpiredLeases()
{
    const core::TimePoint now = m_clock.now();
    std::vector<std::uint64_t> lapsed;
    for (const std::pair<const std::uint64_t, Lease> &lease : m_leases) {
        if (lease.second.expiresAt <= now) {
            lapsed.push_back(lease.first);
        }
    }
    for (const std::uint64_t id : lapsed) {
        removeLease(id);
    }
}

absl::StatusOr<nlohmann::json> StoreStub::lease(const std::string &path, const nlohmann::json &body)
{
    if (path == "/v3/lease/grant") {
        const core::Duration ttl = std::chrono::seconds{internal::numberOf(body, "TTL")};
        const std::uint64_t id = ++m_lastLease;
        m_leases.emplace(id, Lease{ttl, m_clock.now() + ttl});
        return nlohmann::json{{"header", header()}, {"ID", std::to_string(id)}, {"TTL", body.at("TTL")}};
    }
    const std::uint64_t id = internal::numberOf(body, "ID");
    const auto found = m_leases.find(id);
    if (path == "/v3/lease/revoke") {
        removeLease(id);
        return nlohmann::json{{"header", header()}};
    }
    if (found == m_leases.end()) {
        return nlohmann::json{{"result", {{"header", header()}, {"ID", std::to_string(id)}}}};
    }
    found->second.expiresAt = m_clock.now() + found->second.ttl;
    const std::int64_t seconds = std::chrono::duration_cast<std::chrono::seconds>(found->second.ttl).count();
    return nlohmann::json{{"result", {{"header", header()}, {"ID", std::to_string(id)}, {"TTL", std::to_string(seconds)}}}};
}

absl::StatusOr<nlohmann::json> StoreStub::call(const std::string &path, const nlohmann::json &body, bool &lost)
{
    const std::lock_guard<std::mutex> lock{m_mutex};
    removeExpiredLeases();
    if (path == "/v3/kv/range") {
        ++m_counts.reads;
        return range(body);
    }
    if (path == "/v3/kv/txn") {
        ++m_counts.writes;
        ++m_transactionCount;
        lost = m_faults.loseEvery > 0 && m_transactionCount % m_faults.loseEvery == 0;
        return compareAndSwap(body);
    }
    if (path.starts_with("/v3/lease/")) {
        ++m_counts.writes;
        return lease(path, body);
    }
    return absl::NotFoundError("not a path of the gateway");
}

std::optional<nlohmann::json> StoreStub::nextChange(const std::string &key, std::uint64_t &after)
{
    const std::string name = store::fromBase64(key).value_or("");
    std::unique_lock<std::mutex> lock{m_mutex};
    const auto changed = [&] {
        const auto entry = m_entries.find(name);
        return !m_faults.silentWatches && entry != m_entries.end() && entry->second.revision > after;
    };
    if (!m_changed.wait_for(lock, internal::watchPollInterval, changed)) {
        return std::nullopt;
    }
    const auto entry = m_entries.find(name);
    after = entry->second.revision;
    const nlohmann::json event = {{"kv", entryJson(name, entry->second, false)}};
    return nlohmann::json{{"result", {{"header", header()}, {"events", nlohmann::json::array({event})}}}};
}

/** @brief Serves the gateway's calls; each connection runs on its own thread. */
class StoreServer::State
{
public:
    State(StoreStub &stub, std::uint16_t port)
        : m_stub{stub}
        , m_server{port, [this](Socket &socket) {
                       serve(socket);
                   }}
    {
    }

    [[nodiscard]] std::uint16_t port() const
    {
        return m_server.port();
    }

private:
    using Socket = ThreadServer::Socket;
    using Request = internal::beast::http::request<internal::beast::http::string_body>;

    void serve(Socket &socket)
    {
        boost::system::error_code error;
        socket.set_option(internal::asio::ip::tcp::no_delay{true}, error);
        internal::beast::flat_buffer buffer;
        while (!m_server.stopping()) {
            internal::beast::http::request_parser<internal::beast::http::string_body> parser;
            parser.body_limit(8U << 20U);
            internal::beast::http::read(socket, buffer, parser, error);
            if (error || !answer(socket, parser.release())) {
                return;
            }
        }
    }

    [[nodiscard]] bool answer(Socket &socket, const Request &request)
    {
        const std::string path{request.target()};
        const nlohmann::json body = nlohmann::json::parse(request.body(), nullptr, false);
        if (path == "/stub/faults") {
            return setFaults(socket, body);
        }
        if (path == "/stub/counts") {
            const StoreCounts counts = m_stub.counts();
            return send(socket, 200, {{"reads", counts.reads}, {"writes", counts.writes}, {"watches", counts.watches}});
        }
        const StoreFaults faults = m_stub.faults();
        if (faults.away) {
            return false;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds{faults.delayMs});
        if (path == "/v3/watch") {
            watch(socket, body);
            return false;
        }
        bool lost = false;
        absl::StatusOr<nlohmann::json> result;
        try {
            result = m_stub.call(path, body, lost);
        } catch (const std::exception &failure) {
            return send(socket, 400, {{"code", 3}, {"message", failure.what()}});
        }
        if (lost) {
            return false;
        }
        if (!result.ok()) {
            return send(socket, 404, {{"code", internal::grpcNotFound}, {"message", std::string{result.status().message()}}});
        }
        return send(socket, 200, *result);
    }

    [[nodiscard]] bool setFaults(Socket &socket, const nlohmann::json &body)
    {
        StoreFaults faults;
        faults.away = body.value("away", false);
        faults.silentWatches = body.value("silentWatches", false);
        faults.delayMs = body.value("delayMs", 0U);
        faults.loseEvery = body.value("loseEvery", 0U);
        m_stub.setFaults(faults);
        return send(socket, 200, nlohmann::json::object());
    }

    [[nodiscard]] static bool send(Socket &socket, unsigned status, const nlohmann::json &body)
    {
        internal::beast::http::response<internal::beast::http::string_body> response;
        response.version(11);
        response.result(status);
        response.set(internal::beast::http::field::content_type, "application/json");
        response.body() = body.dump();
        response.prepare_payload();
        boost::system::error_code error;
        internal::beast::http::write(socket, response, error);
        return !error;
    }

    void watch(Socket &socket, const nlohmann::json &body)
    {
        const nlohmann::json create = body.value("create_request", nlohmann::json::object());
        const std::string key = create.value("key", "");
        const std::uint64_t start = internal::numberOf(create, "start_revision");
        std::uint64_t after = start > 0 ? start - 1 : 0;
        internal::beast::http::response<internal::beast::http::empty_body> response;
        response.version(11);
        response.result(200);
        response.set(internal::beast::http::field::content_type, "application/json");
        response.chunked(true);
        internal::beast::http::response_serializer<internal::beast::http::empty_body> serializer{response};
        boost::system::error_code error;
        internal::beast::http::write_header(socket, serializer, error);
        const nlohmann::json created = {{"result", {{"created", true}}}};
        bool open = !error && sendChunk(socket, created);
        while (open && !m_server.stopping() && !m_stub.faults().away) {
            const std::optional<nlohmann::json> change = m_stub.nextChange(key, after);
            open = change ? sendChunk(socket, *change) : isOpen(socket);
        }
    }

    [[nodiscard]] static bool isOpen(Socket &socket)
    {
        char byte = 0;
        const ssize_t received = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        return received > 0 || (received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK));
    }

    [[nodiscard]] static bool sendChunk(Socket &socket, const nlohmann::json &line)
    {
        const std::string text = line.dump() + "\n";
        boost::system::error_code error;
        internal::asio::write(socket, internal::beast::http::make_chunk(internal::asio::buffer(text)), error);
        return !error;
    }

    StoreStub &m_stub;
    ThreadServer m_server;
};

StoreServer::StoreServer(StoreStub &stub, std::uint16_t port)
    : m_state{std::make_unique<State>(stub, port)}
{
}

StoreServer::~StoreServer() = default;

std::uint16_t StoreServer::port() const noexcept
{
    return m_state->port();
}

} // namespace oleanderwick::stub
