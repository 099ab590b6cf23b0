Feature: No proxy ever returns to an older configuration version
  Scenario: Two operators publish concurrently before a log outage
    Given a mesh of two halves in two regions
    And updates between nodes are reordered, duplicated and lost
    When two operators publish changes based on the same version
    And the log is unavailable for 20 seconds
    And a node restarts without its state
    Then no node returned to an older version
    And one of the two changes is in force on every node
