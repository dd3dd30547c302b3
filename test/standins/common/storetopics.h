#ifndef VERBENADOCK_TEST_STANDINS_STORETOPICS_H
#define VERBENADOCK_TEST_STANDINS_STORETOPICS_H

#include "common/httpserver.h"

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>

namespace Verbenadock::Standins {

/// Path and parameters of a request's target.
class StoreQuery
{
public:
    explicit StoreQuery(std::string_view target);

    const std::string &path() const;
    std::string text(const std::string &name) const;
    std::optional<std::uint64_t> number(const std::string &name) const;
    /// Topic and partition as one name.
    std::string partition() const;

private:
    std::string pathText;
    std::map<std::string, std::string> parameters;
};

/// Records, offsets and producers of all topics.
class StoreTopics
{
public:
    /// Number of records kept in a partition; keyed topics keep the newest of each key besides.
    void retain(std::size_t records);

    /// Whether a read has an answer now, with records or that the offset does not exist.
    bool holds(const StoreQuery &query) const;

    Response answer(std::string_view method, const StoreQuery &query, const std::string &body);

    /// First and next offset of each partition.
    std::map<std::string, std::pair<std::uint64_t, std::uint64_t>> extents() const;

private:
    struct Producer
    {
        std::uint64_t epoch = 0;
        std::uint64_t nextSequence = 0;
        bool hasSequence = false;
        /// Sequence numbers and offsets of the last appends.
        std::deque<std::pair<std::uint64_t, std::uint64_t>> last;
    };

    struct Partition
    {
        std::uint64_t first = 0;
        std::deque<std::string> records;
        std::map<std::string, std::pair<std::uint64_t, std::string>> newest;
        std::map<std::string, Producer> producers;

        std::uint64_t end() const
        {
            return this->first + this->records.size();
        }
    };

    Response append(const StoreQuery &query, const std::string &body);
    std::optional<Response> checkProducer(Partition &partition, const StoreQuery &query) const;
    Response read(const StoreQuery &query) const;
    Response newest(const StoreQuery &query) const;
    Response trim(const StoreQuery &query);
    void shorten(Partition &partition) const;

    std::map<std::string, Partition> partitions;
    std::size_t retained = 1000000;
};

} // namespace Verbenadock::Standins

#endif
