#pragma once

namespace oleanderwick::http
{

struct Header;
struct Request;
struct Response;
struct Endpoint;
struct ServerFigures;
struct ServerLimits;
struct Exchange;
struct ExchangeResult;
class ListenerWatch;
class Loop;
class MemoryBudget;
class Server;
class Client;
class UpstreamConnections;

} // namespace oleanderwick::http
