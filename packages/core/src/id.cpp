#include "vanillahall/core/id_func.h"

#include <charconv>

#include <xxhash.h>

namespace Vanillahall {

namespace {

constexpr std::size_t HexDigits = 16; ///< Hexadecimal digits of a 64-bit number.

std::string formatHex(std::uint64_t number)
{
    static constexpr char Digits[] = "0123456789abcdef";
    constexpr unsigned BitsPerDigit = 4;
    std::string buf(HexDigits, '0');
    for (std::size_t n = HexDigits; n > 0; n--) {
        buf[n - 1] = Digits[number & 0xf];
        number >>= BitsPerDigit;
    }
    return buf;
}

std::optional<std::uint64_t> parseHex(std::string_view text)
{
    constexpr int Base = 16;
    if (text.size() != HexDigits) {
        return std::nullopt;
    }
    std::uint64_t number = 0;
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), number, Base);
    if (ec != std::errc() || end != text.data() + text.size()) {
        return std::nullopt;
    }
    return number;
}

} // namespace

std::string toText(const ShardId &id)
{
    return formatHex(id.value);
}

std::string toText(const ProgramId &id)
{
    return formatHex(id.shard.value) + "-" + formatHex(id.serial);
}

std::optional<ShardId> parseShardId(std::string_view text)
{
    const auto number = parseHex(text);
    if (!number) {
        return std::nullopt;
    }
    return ShardId{*number};
}

std::optional<ProgramId> parseProgramId(std::string_view text)
{
    if (text.size() != 2 * HexDigits + 1 || text[HexDigits] != '-') {
        return std::nullopt;
    }
    const auto shard = parseHex(text.substr(0, HexDigits));
    const auto serial = parseHex(text.substr(HexDigits + 1));
    if (!shard || !serial) {
        return std::nullopt;
    }
    return ProgramId{ShardId{*shard}, *serial};
}

ContentHash contentHash(std::string_view content)
{
    const XXH128_hash_t hash = XXH3_128bits(content.data(), content.size());
    return ContentHash{hash.high64, hash.low64};
}

} // namespace Vanillahall
