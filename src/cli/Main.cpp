// Entry point of the one binary.
#include <iostream>

int
main()
{
  std::cout << "hyssoppaddle " << HYSSOPPADDLE_VERSION << '\n';
  return 0;
}
