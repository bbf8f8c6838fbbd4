// limpetctl: the command-line client for operators.

#include "ctl/run.h"

#include <iostream>

int
main(int aCount, char** aArguments)
{
  return limpetwood::ctl::Run(
    { aArguments + 1, aArguments + aCount }, std::cout, std::cerr);
}
