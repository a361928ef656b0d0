#include "cli_p.h"

#include <exception>
#include <iostream>

int main(int Count, char **Values) {
  using namespace magnoliaspread;
  try {
    std::vector<std::string> Arguments(Values + 1, Values + Count);
    return static_cast<int>(
        runCli(Arguments, std::cout, std::cerr, connectPlatform));
  } catch (const std::exception &Failure) {
    std::cerr << "magnoliactl: " << Failure.what() << "\n";
    return static_cast<int>(exit_code::Refused);
  }
}
