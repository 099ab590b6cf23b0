Feature: No proxy ever returns to an older configuration version
  Scenario: Two operators race while the log is down and updates cross
    Given a mesh of two halves in two regions
    And updates between nodes cross, repeat and get lost
    When two operators publish changes of the same version
    And the log goes down for 20 seconds
    And a node restarts without memory
    Then no node ever went back to an older version
    And one of the two changes is in force on every node
