#pragma once

namespace oleanderwick::peer
{

class Service;
class Endpoint;
class Link;

} // namespace oleanderwick::peer
