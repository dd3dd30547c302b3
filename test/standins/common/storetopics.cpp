#include "common/storetopics.h"

#include "common/program.h"

#include <boost/beast/core/detail/base64.hpp>

#include <vector>

namespace Verbenadock::Standins {

namespace {

constexpr std::size_t LengthBytes = 4;
constexpr std::size_t OffsetBytes = 8;
constexpr std::size_t DefaultReadBytes = 1 << 20;
constexpr std::size_t RememberedAppends = 5;
constexpr std::size_t NewestPageItems = 500;

std::string bigEndian(std::uint64_t value, std::size_t bytes)
{
    std::string text(bytes, '\0');
    for (auto position = bytes; position > 0; --position) {
        text[position - 1] = static_cast<char>(value & 0xffU);
        value >>= 8U;
    }
    return text;
}

/// Nothing when the body is not a sequence of lengths and records.
std::optional<std::vector<std::string>> splitRecords(const std::string &body)
{
    std::vector<std::string> records;
    std::size_t position = 0;
    while (position < body.size()) {
        if (body.size() - position < LengthBytes) {
            return std::nullopt;
        }
        std::size_t length = 0;
        for (std::size_t byte = 0; byte < LengthBytes; ++byte) {
            length = (length << 8U) | static_cast<unsigned char>(body[position + byte]);
        }
        position += LengthBytes;
        if (body.size() - position < length) {
            return std::nullopt;
        }
        records.push_back(body.substr(position, length));
        position += length;
    }
    return records;
}

std::string base64(const std::string &bytes)
{
    namespace codec = boost::beast::detail::base64;
    std::string text(codec::encoded_size(bytes.size()), '\0');
    text.resize(codec::encode(text.data(), bytes.data(), bytes.size()));
    return text;
}

std::string percentDecoded(const std::string &text)
{
    std::string decoded;
    for (std::size_t position = 0; position < text.size(); ++position) {
        const auto digits = text.substr(position + 1, 2);
        if (text[position] == '%' && digits.size() == 2
            && digits.find_first_not_of("0123456789ABCDEFabcdef") == std::string::npos) {
            decoded.push_back(static_cast<char>(std::stoi(digits, nullptr, 16)));
            position += 2;
        } else {
            decoded.push_back(text[position]);
        }
    }
    return decoded;
}

} // namespace

StoreQuery::StoreQuery(std::string_view target)
{
    const auto question = target.find('?');
    this->pathText = target.substr(0, question);
    auto rest = question == std::string_view::npos ? std::string_view() : target.substr(question + 1);
    while (!rest.empty()) {
        const auto pair = rest.substr(0, rest.find('&'));
        const auto equals = pair.find('=');
        if (equals != std::string_view::npos) {
            this->parameters.emplace(pair.substr(0, equals), pair.substr(equals + 1));
        }
        rest.remove_prefix(std::min(rest.size(), pair.size() + 1));
    }
}

const std::string &StoreQuery::path() const
{
    return this->pathText;
}

std::string StoreQuery::text(const std::string &name) const
{
    const auto found = this->parameters.find(name);
    return found == this->parameters.end() ? std::string() : percentDecoded(found->second);
}

std::optional<std::uint64_t> StoreQuery::number(const std::string &name) const
{
    const auto value = this->text(name);
    const bool digits = !value.empty() && value.find_first_not_of("0123456789") == std::string::npos;
    return digits ? std::optional(std::stoull(value)) : std::nullopt;
}

std::string StoreQuery::partition() const
{
    const auto part = this->number("part").value_or(0);
    return part == 0 ? this->text("topic") : this->text("topic") + "/" + std::to_string(part);
}

void StoreTopics::retain(std::size_t records)
{
    this->retained = records;
    for (auto &[name, partition] : this->partitions) {
        this->shorten(partition);
    }
}

void StoreTopics::shorten(Partition &partition) const
{
    while (partition.records.size() > this->retained) {
        partition.records.pop_front();
        ++partition.first;
    }
}

bool StoreTopics::holds(const StoreQuery &query) const
{
    const auto found = this->partitions.find(query.partition());
    const auto from = query.number("from").value_or(0);
    return found == this->partitions.end() ? from > 0 : from != found->second.end();
}

Response StoreTopics::answer(std::string_view method, const StoreQuery &query, const std::string &body)
{
    if (query.text("topic").empty()) {
        return errorResponse("topic is missing", http::status::bad_request);
    }
    if (method == "POST" && query.path() == "/v1/log-append") {
        return this->append(query, body);
    }
    if (method == "POST" && query.path() == "/v1/log-trim") {
        return this->trim(query);
    }
    if (method == "GET" && query.path() == "/v1/log-read") {
        return this->read(query);
    }
    if (method == "GET" && query.path() == "/v1/log-newest") {
        return this->newest(query);
    }
    return errorResponse("no such page", http::status::not_found);
}

std::optional<Response> StoreTopics::checkProducer(Partition &partition, const StoreQuery &query) const
{
    const auto name = query.text("producer");
    if (name.empty()) {
        return std::nullopt;
    }
    const auto epoch = query.number("epoch").value_or(0);
    const auto sequence = query.number("seq");
    auto &producer = partition.producers[name];
    if (epoch < producer.epoch) {
        return jsonResponse({{"why", "fenced"}}, http::status::conflict);
    }
    if (epoch > producer.epoch) {
        producer = Producer{.epoch = epoch};
    }
    for (const auto &[earlier, offset] : producer.last) {
        if (sequence == earlier) {
            return jsonResponse({{"offset", offset}, {"end", partition.end()}});
        }
    }
    if (producer.hasSequence && sequence != producer.nextSequence) {
        return jsonResponse({{"why", "seq"}, {"seq", producer.nextSequence}}, http::status::conflict);
    }
    if (sequence) {
        producer.hasSequence = true;
        producer.nextSequence = *sequence + 1;
        producer.last.emplace_back(*sequence, partition.end());
        if (producer.last.size() > RememberedAppends) {
            producer.last.pop_front();
        }
    }
    return std::nullopt;
}

Response StoreTopics::append(const StoreQuery &query, const std::string &body)
{
    const auto records = splitRecords(body);
    if (!records) {
        return errorResponse("the body is not a sequence of records", http::status::bad_request);
    }
    auto &partition = this->partitions[query.partition()];
    const auto expected = query.number("asOf");
    if (expected && *expected != partition.end()) {
        return jsonResponse({{"end", partition.end()}}, http::status::precondition_failed);
    }
    if (auto refused = this->checkProducer(partition, query)) {
        return std::move(*refused);
    }
    const auto offset = partition.end();
    const bool keyed = query.text("topic").starts_with("keyed.");
    for (const auto &record : *records) {
        const std::size_t keyLength = record.empty() ? 0 : static_cast<unsigned char>(record.front());
        if (keyed && record.size() > keyLength) {
            const auto key = record.substr(1, keyLength);
            const auto value = record.substr(1 + keyLength);
            if (value.empty()) {
                partition.newest.erase(key);
            } else {
                partition.newest[key] = {partition.end(), value};
            }
        }
        partition.records.push_back(record);
    }
    this->shorten(partition);
    return jsonResponse({{"offset", offset}, {"end", partition.end()}});
}

Response StoreTopics::read(const StoreQuery &query) const
{
    static const Partition Empty;
    const auto found = this->partitions.find(query.partition());
    const auto &partition = found == this->partitions.end() ? Empty : found->second;
    const auto from = query.number("from").value_or(0);
    if (from < partition.first || from > partition.end()) {
        return jsonResponse({{"first", partition.first}}, http::status::gone);
    }
    const auto limit = query.number("maxKb") ? *query.number("maxKb") * 1024 : DefaultReadBytes;
    auto body = bigEndian(partition.end(), OffsetBytes) + bigEndian(partition.first, OffsetBytes);
    for (auto offset = from; offset < partition.end() && body.size() < limit; ++offset) {
        const auto &record = partition.records[offset - partition.first];
        body.append(bigEndian(record.size(), LengthBytes)).append(record);
    }
    Response response(http::status::ok, 11);
    response.set(http::field::content_type, "application/octet-stream");
    response.body() = std::move(body);
    return response;
}

Response StoreTopics::newest(const StoreQuery &query) const
{
    auto items = Json::array();
    bool more = false;
    std::uint64_t end = 0;
    const auto found = this->partitions.find(query.partition());
    if (found != this->partitions.end()) {
        end = found->second.end();
        const auto &newest = found->second.newest;
        for (auto entry = newest.upper_bound(query.text("after")); entry != newest.end(); ++entry) {
            more = items.size() == NewestPageItems;
            if (more) {
                break;
            }
            items.push_back(
                {{"key", entry->first}, {"value", base64(entry->second.second)}, {"offset", entry->second.first}});
        }
    }
    return jsonResponse({{"items", items}, {"hasMore", more}, {"end", end}});
}

Response StoreTopics::trim(const StoreQuery &query)
{
    auto &partition = this->partitions[query.partition()];
    while (partition.first < query.number("before").value_or(0) && !partition.records.empty()) {
        partition.records.pop_front();
        ++partition.first;
    }
    return jsonResponse({{"first", partition.first}});
}

std::map<std::string, std::pair<std::uint64_t, std::uint64_t>> StoreTopics::extents() const
{
    std::map<std::string, std::pair<std::uint64_t, std::uint64_t>> result;
    for (const auto &[name, partition] : this->partitions) {
        result[name] = {partition.first, partition.end()};
    }
    return result;
}

} // namespace Verbenadock::Standins
