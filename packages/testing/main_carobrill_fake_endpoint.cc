#include "packages/testing/fake_endpoint.h"
#include "packages/testing/fake_program.h"

// Usage: carobrill_fake_endpoint [--listen IP] [--port N] [--slots N]
int main(int argc, char** argv) {
  const auto options = carobrill::testing::PrepareFake(argc, argv);
  carobrill::testing::FakeEndpoint endpoint(options.Number("slots", 8));
  return carobrill::testing::ServeFake(options,
                                       [&](const auto& request, auto respond) {
                                         endpoint.Handle(request, respond);
                                       });
}
