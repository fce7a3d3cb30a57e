#include "refusal_record.hpp"

#include <algorithm>

#include <nlohmann/json.hpp>

#include "../core/json_reading.hpp"

namespace oleanderwick::jobnode
{

std::string toText(const RefusalRecord &record)
{
    return nlohmann::json{{"first", record.firstMs}}.dump();
}

RefusalRecord refusalFromItem(const jobs::StoreItem &item)
{
    RefusalRecord record;
    record.revision = item.revision;
    const nlohmann::json value = core::parseJsonOrDiscard(item.value);
    if (value.is_object() && value.contains("first") && value["first"].is_number_integer()) {
        record.firstMs = std::max<std::int64_t>(0, value["first"].get<std::int64_t>());
    }
    return record;
}

} // namespace oleanderwick::jobnode
