/** Applies changes to the configuration row in the platform's table service. */
#pragma once

#include "vanillahall/core/operator_type.h"
#include "vanillahall/core/store_type.h"

#include <deque>
#include <optional>
#include <vector>

namespace Vanillahall {

/** Settings of ConfigUpdater. */
struct ConfigUpdaterSettings
{
    std::string self;                                         ///< Name of this entry, used in errors.
    Duration storeTimeLimit = std::chrono::milliseconds(800); ///< Time-out of a request to the store.
    Duration changeTimeLimit = std::chrono::seconds(4);       ///< A change whose outcome isn't known by then is answered with an error.
    std::uint32_t historyLength = 200;                        ///< Number of changes stored in the row.
};

/** A request to the store. */
struct ConfigStoreRequest
{
    StoreRequestId request; ///< Its number.
    StoreRequest body;      ///< Content of the request.
    Duration timeLimit{};   ///< Time-out of the request.
};

/** Response to an operator. */
struct ConfigReply
{
    RequestId request; ///< The operator's request.
    ConfigAnswer body; ///< Content of the response.
};

/** Requests and responses that the owner of a ConfigUpdater has to send. */
struct ConfigUpdaterOutput
{
    StoreRequestId nextRequest;            ///< In: next free number; out: advanced past the numbers used.
    std::vector<ConfigStoreRequest> store; ///< Requests to the store.
    std::vector<ConfigReply> replies;      ///< Responses to operators.
};

/** @return Key of the row that holds the configuration. */
RowKey configKey();

/**
 * Applies changes one at a time: reads the row, checks the expected version and writes conditionally. After a lost reply it reads the row
 * again to learn whether the write took effect.
 */
class ConfigUpdater
{
public:
    explicit ConfigUpdater(ConfigUpdaterSettings settings);

    // Commands.

    /** Queues a change requested by an operator. */
    void change(RequestId request, ConfigChangeRequest body, Now now, ConfigUpdaterOutput &out);
    /** Processes a reply of the store. @return True if the request was sent by this updater. */
    bool onStoreReply(StoreRequestId request, const StoreAnswer &answer, Now now, ConfigUpdaterOutput &out);
    /** Answers changes that have passed their time limit with an error. */
    void tick(Now now, ConfigUpdaterOutput &out);

    // Queries.

    /** @return The newest configuration that this updater has read or written; version 0 before the first one. */
    [[nodiscard]] const ConfigRow &newest() const;

private:
    /** A change in progress. */
    struct Pending
    {
        RequestId request;        ///< The operator's request.
        ConfigChangeRequest body; ///< What to set.
        TimePoint deadline;       ///< When the change is answered with an error.
        bool written = false;     ///< True once a write was sent whose outcome isn't known.
    };

    void readRow(ConfigUpdaterOutput &out);
    void onRowRead(const StoreRows &rows, Now now, ConfigUpdaterOutput &out);
    void writeRow(const ConfigRow &current, RowVersion rowVersion, Now now, ConfigUpdaterOutput &out);
    void finish(ConfigAnswer answer, ConfigUpdaterOutput &out);
    void sendRequest(StoreRequest body, ConfigUpdaterOutput &out);

    ConfigUpdaterSettings m_settings;
    std::deque<Pending> m_pending;
    std::optional<StoreRequestId> m_storeRequest;
    std::optional<ConfigRow> m_writtenRow;
    ConfigRow m_newest;
};

} // namespace Vanillahall
