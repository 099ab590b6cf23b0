Feature: No route on any proxy refers to a resource that the proxy lacks
  Scenario: A move names a version that no backend server runs
    Given a mesh of two halves in two regions
    When an operator moves catalogue to version v9 within 30 seconds
    And callers look up proofs for 60 seconds
    Then every route of every node has backend servers to call
    And every call was answered
    And the move of catalogue is undone

  Scenario: All backend servers of a service die
    Given a mesh of two halves in two regions
    When all backend servers of artwork die
    And 30 seconds pass
    Then every route of every node has backend servers to call
    And a call to artwork is refused as not run
