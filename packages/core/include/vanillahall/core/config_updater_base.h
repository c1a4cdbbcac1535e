/** Changes of the configuration in the platform's table service. */
#pragma once

#include "vanillahall/core/operator_type.h"
#include "vanillahall/core/store_type.h"

#include <deque>
#include <optional>
#include <vector>

namespace Vanillahall {

/** How changes are made. */
struct ConfigUpdaterSettings
{
    std::string self;                                         ///< Name of this entry, for errors.
    Duration storeTimeLimit = std::chrono::milliseconds(800); ///< A request to the store is given up after this.
    Duration changeTimeLimit = std::chrono::seconds(4);       ///< A change whose fate isn't known by then is answered with an error.
    std::uint32_t historyLength = 200;                        ///< Changes kept in the row.
};

/** A request to the store. */
struct ConfigStoreRequest
{
    StoreRequestId request; ///< Its number.
    StoreRequest body;      ///< What to ask.
    Duration timeLimit{};   ///< When to give up.
};

/** An answer to an operator. */
struct ConfigReply
{
    RequestId request; ///< The operator's request.
    ConfigAnswer body; ///< The answer.
};

/** What the keeper asks to be done. */
struct ConfigUpdaterOutput
{
    StoreRequestId nextRequest;            ///< In: next free number; out: advanced past those used.
    std::vector<ConfigStoreRequest> store; ///< Requests to the store.
    std::vector<ConfigReply> replies;      ///< Answers to operators.
};

/** @return Key of the row that holds the configuration. */
RowKey configKey();

/**
 * Makes changes one after the other: read, check the version, write on condition, and after a lost answer read back what was written.
 */
class ConfigUpdater
{
public:
    explicit ConfigUpdater(ConfigUpdaterSettings settings);

    // Commands.

    /** Takes in an operator's change. */
    void change(RequestId request, ConfigChangeRequest body, Now now, ConfigUpdaterOutput &out);
    /** Takes in an answer of the store. @return True if the request was the keeper's. */
    bool onStoreReply(StoreRequestId request, const StoreAnswer &answer, Now now, ConfigUpdaterOutput &out);
    /** Gives up changes whose time is over. */
    void tick(Now now, ConfigUpdaterOutput &out);

    // Queries.

    /** @return The newest configuration that this keeper has read or written; version 0 before the first. */
    [[nodiscard]] const ConfigRow &newest() const;

private:
    /** A change under way. */
    struct Pending
    {
        RequestId request;        ///< The operator's request.
        ConfigChangeRequest body; ///< What to set.
        TimePoint giveUp;         ///< When it is answered with an error.
        bool written = false;     ///< True once a write was sent whose fate isn't known.
    };

    void readRow(ConfigUpdaterOutput &out);
    void onRows(const StoreRows &rows, Now now, ConfigUpdaterOutput &out);
    void writeRow(const ConfigRow &current, RowVersion rowVersion, Now now, ConfigUpdaterOutput &out);
    void finish(ConfigAnswer answer, ConfigUpdaterOutput &out);
    void ask(StoreRequest body, ConfigUpdaterOutput &out);

    ConfigUpdaterSettings m_settings;
    std::deque<Pending> m_pending;
    std::optional<StoreRequestId> m_asked;
    std::optional<ConfigRow> m_written;
    ConfigRow m_newest;
};

} // namespace Vanillahall
