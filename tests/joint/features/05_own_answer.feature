Feature: A caller gets the whole answer to its own request
  Scenario: Answers get lost between the nodes
    Given a mesh of two halves in two regions
    And 10 percent of the answers between nodes get lost
    When callers look up proofs for 30 seconds
    Then every answer was the whole answer to its own request
