#include "vanillahall/core/id_func.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace Vanillahall {

RC_GTEST_PROP(ProgramIdText, RoundTrips, (std::uint64_t shard, std::uint64_t serial))
{
    const ProgramId id{ShardId{shard}, serial};
    RC_ASSERT(parseProgramId(toText(id)) == id);
}

class InvalidProgramId : public ::testing::TestWithParam<const char *>
{
};

TEST_P(InvalidProgramId, IsRejected)
{
    EXPECT_FALSE(parseProgramId(GetParam()).has_value());
}

INSTANTIATE_TEST_SUITE_P(Texts,
                         InvalidProgramId,
                         ::testing::Values("",
                                           "1-2",
                                           "0000000000000001_0000000000000002",
                                           "000000000000000g-0000000000000002",
                                           "0000000000000001-00000000000000020"));

} // namespace Vanillahall
