/** Stand-in for the platform's table service and object store, in memory. */
#pragma once

#include "standin_server_base.h"

#include <map>

namespace Vanillahall {

/** Rows with versions, conditional transactions, and objects. */
class StoreStandin
{
public:
    StoreStandin(Loop &loop, const std::string &address, std::uint16_t port);

    /** @return The HTTP server, to inject faults. */
    StandinServer &server();

private:
    /** A row with its previous value, which stale reads return. */
    struct Row
    {
        std::uint64_t version{};         ///< Version of the latest write.
        nlohmann::json value;            ///< Current value.
        std::uint64_t previousVersion{}; ///< Previous version; 0 if there is none.
        nlohmann::json previous;         ///< Previous value.
    };

    /** Values of the counters request. */
    struct Counters
    {
        std::uint64_t writes{};       ///< Transactions that took effect.
        std::uint64_t conflicts{};    ///< Transactions that failed a condition.
        std::uint64_t reads{};        ///< Row reads and scans.
        std::uint64_t objectWrites{}; ///< Objects written or removed.
        std::uint64_t objectReads{};  ///< Objects read.
    };

    void handle(HttpExchangeId exchange, const HttpRequest &request);
    void commit(HttpExchangeId exchange, const std::string &body);
    [[nodiscard]] bool areConditionsMet(const nlohmann::json &conditions) const;
    void write(const std::string &key, const nlohmann::json &value);
    void read(HttpExchangeId exchange, const std::string &key);
    void scan(HttpExchangeId exchange, const std::string &query);
    void handleObject(HttpExchangeId exchange, const HttpRequest &request, const std::string &key);
    [[nodiscard]] nlohmann::json view(const std::string &key, const Row &row, bool stale) const;
    [[nodiscard]] nlohmann::json counters() const;

    std::map<std::string, Row> m_rows;
    std::map<std::string, std::string> m_objects;
    std::uint64_t m_version = 0;
    Counters m_counters;
    StandinServer m_server;
};

} // namespace Vanillahall
