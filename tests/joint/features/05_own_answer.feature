Feature: A caller receives the complete answer to its own request
  Scenario: Answers are lost between the nodes
    Given a mesh of two halves in two regions
    And 10 percent of the answers between nodes are lost
    When callers look up proofs for 30 seconds
    Then every answer was the complete answer to its own request
