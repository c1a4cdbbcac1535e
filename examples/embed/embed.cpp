/** Example of a program that uses only the installed `core` package. */
#include "vanillahall/core/id_func.h"

#include <iostream>

int main()
{
    const Vanillahall::ProgramId id{Vanillahall::ShardId{1}, 2};
    std::cout << "embed: " << Vanillahall::toText(id) << '\n';
    return Vanillahall::parseProgramId(Vanillahall::toText(id)) == id ? 0 : 1;
}
