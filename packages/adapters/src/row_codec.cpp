#include "vanillahall/adapters/row_codec_func.h"

#include "json_archive_base.h"
#include "row_json_func.h"

namespace Vanillahall {

namespace {

constexpr int FormatNumber = 1;                     ///< Incremented when the meaning of a stored text changes.
constexpr std::string_view FormatMember = "format"; ///< Member with the format number.
constexpr std::string_view ValueMember = "value";   ///< Member with the stored value.

/** Writes a stored text: an object of the format number and the value. */
template<typename T>
std::string encodeAs(const T &value, TextForm form)
{
    JsonWriter writer(form);
    writer(FormatMember, FormatNumber);
    writer(ValueMember, value);
    return writer.take().dump();
}

/** Writes texts as JSON strings, or all of them in the longer hexadecimal form if one is not valid UTF-8. */
template<typename T>
std::string encode(const T &value)
{
    try {
        return encodeAs(value, TextForm::Plain);
    } catch (const nlohmann::json::type_error &) {
        return encodeAs(value, TextForm::Hex);
    }
}

Error decodeError(std::string message)
{
    return Error{ErrorCode::Internal, RunState::NotRun, Step::Decode, {}, std::move(message), {}};
}

template<typename T>
std::optional<T> fromJson(const nlohmann::json &json, Error &reason)
{
    std::string errorPath;
    int format = 0;
    JsonReader reader(json, errorPath);
    reader(FormatMember, format);
    if (errorPath.empty() && format != FormatNumber) {
        reason = decodeError("unknown format " + std::to_string(format));
        return std::nullopt;
    }
    T value;
    reader(ValueMember, value);
    if (!errorPath.empty()) {
        reason = decodeError("missing or wrong: " + errorPath);
        return std::nullopt;
    }
    return value;
}

template<typename T>
std::optional<T> decode(std::string_view text, Error &reason)
{
    const auto json = nlohmann::json::parse(text, nullptr, false);
    if (json.is_discarded()) {
        reason = decodeError("not JSON");
        return std::nullopt;
    }
    return fromJson<T>(json, reason);
}

} // namespace

std::string toHex(std::string_view bytes)
{
    static constexpr char Digits[] = "0123456789abcdef";
    std::string text;
    text.reserve(2 * bytes.size());
    for (const char it : bytes) {
        const auto byte = static_cast<unsigned char>(it);
        text += Digits[byte >> 4];
        text += Digits[byte & 0xf];
    }
    return text;
}

std::optional<std::string> fromHex(std::string_view text)
{
    constexpr int Base = 16;
    if (text.size() % 2 != 0) {
        return std::nullopt;
    }
    std::string bytes;
    bytes.reserve(text.size() / 2);
    for (std::size_t n = 0; n < text.size(); n += 2) {
        unsigned char byte = 0;
        const char *end = text.data() + n + 2;
        const auto [stop, ec] = std::from_chars(text.data() + n, end, byte, Base);
        if (ec != std::errc() || stop != end) {
            return std::nullopt;
        }
        bytes += static_cast<char>(byte);
    }
    return bytes;
}

std::string encodeRow(const RowValue &row)
{
    return encode(row);
}

std::string encodeRecord(const JournalRecord &record)
{
    return encode(record);
}

std::string encodeSnapshot(const ShardSnapshot &snapshot)
{
    return encode(snapshot);
}

std::optional<RowValue> rowFromJson(const nlohmann::json &json, Error &reason)
{
    return fromJson<RowValue>(json, reason);
}

std::optional<RowValue> decodeRow(std::string_view text, Error &reason)
{
    return decode<RowValue>(text, reason);
}

std::optional<JournalRecord> decodeRecord(std::string_view text, Error &reason)
{
    return decode<JournalRecord>(text, reason);
}

std::optional<ShardSnapshot> decodeSnapshot(std::string_view text, Error &reason)
{
    return decode<ShardSnapshot>(text, reason);
}

} // namespace Vanillahall
