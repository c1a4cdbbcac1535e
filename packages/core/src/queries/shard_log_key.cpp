#include "vanillahall/core/shard_log_func.h"

#include "vanillahall/core/id_func.h"

namespace Vanillahall {

namespace {

constexpr std::size_t NumberDigits = 20;      ///< Digits of a segment number in its key.
constexpr std::size_t RecordOverhead = 160;   ///< Bytes of the fixed-size members of a record and of the member names in the store.
constexpr const char *LeasePrefix = "lease/"; ///< Key of a lease row without its shard.
constexpr const char *LeaseEnd = "lease0";    ///< First key after all lease rows.
constexpr std::uint32_t LeasesPerPage = 100;  ///< Rows of one scan page.

std::size_t inputBytes(const CallInput &input)
{
    if (const auto *call = std::get_if<ServiceCall>(&input)) {
        return call->service.text.size() + call->operation.size() + call->body.size();
    }
    const auto &model = std::get<ModelInput>(input);
    std::size_t sum = model.model.text.size();
    for (const std::string &it : model.messages) {
        sum += it.size();
    }
    return sum;
}

std::size_t outcomeBytes(const CallOutcome &outcome)
{
    if (const auto *result = std::get_if<CallResult>(&outcome)) {
        return result->body.size() + result->finishReason.size();
    }
    const auto &error = std::get<Error>(outcome);
    return error.peer.size() + error.message.size();
}

/** Visitor that returns the size of all texts of a record, in bytes. */
struct TextSize
{
    std::size_t operator()(const ProgramCreated &it) const
    {
        return it.customer.text.size() + it.className.text.size();
    }
    std::size_t operator()(const CallIntended &it) const
    {
        return it.server.text.size() + inputBytes(it.input);
    }
    std::size_t operator()(const TurnFinished &it) const
    {
        return it.server.text.size() + inputBytes(it.input) + outcomeBytes(it.outcome);
    }
    std::size_t operator()(const OutcomeSettled &it) const
    {
        return it.operatorName.size();
    }
    std::size_t operator()(const ProgramEnded & /*it*/) const
    {
        return 0;
    }
};

} // namespace

RowKey leaseKey(ShardId shard)
{
    return RowKey{LeasePrefix + toText(shard)};
}

RowKey segmentKey(ShardId shard, SegmentNumber number)
{
    const std::string digits = std::to_string(number.value);
    return RowKey{"seg/" + toText(shard) + "/" + std::string(NumberDigits - digits.size(), '0') + digits};
}

StoreScan leaseScan(ShardId from)
{
    return StoreScan{leaseKey(from), RowKey{LeaseEnd}, LeasesPerPage};
}

std::size_t recordBytes(const JournalRecord &record)
{
    return RecordOverhead + std::visit(TextSize(), record);
}

} // namespace Vanillahall
