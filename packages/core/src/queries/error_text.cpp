#include "vanillahall/core/error_func.h"

#include "table/error_table.h"

namespace Vanillahall {

namespace {

constexpr std::uint32_t InternalServerError = 500; ///< Status of a code that isn't in the table.

/** Names of the steps, in the order of the enumeration. */
constexpr auto StepNames = std::to_array<std::string_view>({"decode",
                                                            "authenticate",
                                                            "route",
                                                            "forward",
                                                            "admit",
                                                            "reserve",
                                                            "intent",
                                                            "place",
                                                            "dispatch",
                                                            "queue",
                                                            "run",
                                                            "resume",
                                                            "commit",
                                                            "takeover",
                                                            "configure",
                                                            "end"});

} // namespace

std::string_view toText(ErrorCode code)
{
    for (const auto &row : ErrorCodeTable) {
        if (row.code == code) {
            return row.text;
        }
    }
    return "internal";
}

std::uint32_t httpStatus(ErrorCode code)
{
    for (const auto &row : ErrorCodeTable) {
        if (row.code == code) {
            return row.status;
        }
    }
    return InternalServerError;
}

std::string_view toText(RunState run)
{
    switch (run) {
    case RunState::NotRun:
        return "not_run";
    case RunState::Ran:
        return "ran";
    case RunState::Unknown:
        break;
    }
    return "unknown";
}

std::string_view toText(Step step)
{
    static_assert(StepNames.size() == static_cast<std::size_t>(Step::End) + 1);
    return StepNames.at(static_cast<std::size_t>(step));
}

std::string toText(const Error &error)
{
    std::string text(toText(error.code));
    text += " at ";
    text += toText(error.step);
    if (!error.peer.empty()) {
        text += " of " + error.peer;
    }
    text += " (";
    text += toText(error.run);
    text += "): ";
    return text + error.message;
}

Error notRun(ErrorCode code, Step step, std::string peer, std::string message)
{
    Error error;
    error.code = code;
    error.run = RunState::NotRun;
    error.step = step;
    error.peer = std::move(peer);
    error.message = std::move(message);
    return error;
}

} // namespace Vanillahall
