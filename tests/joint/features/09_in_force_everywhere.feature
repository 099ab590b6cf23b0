Feature: An accepted configuration is in force everywhere within seconds
  Scenario: A change is published while updates are lost
    Given a mesh of two halves in two regions
    And updates between nodes are reordered, duplicated and lost
    When an operator publishes a change
    Then the change is in force on every node within 9 seconds
    And it is still in force after 60 seconds

  Scenario: The regions are disconnected and reconnected
    Given a mesh of two halves in two regions
    When the regions are disconnected
    And an operator publishes a change
    And 30 seconds pass
    And the regions are reconnected
    Then the change is in force on every node within 9 seconds
