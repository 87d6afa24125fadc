#include "state/state.hpp"

int main()
{
    return 0;
}
