Feature: An invalid configuration is never applied in part
  Scenario: An operator publishes a route to a class that does not exist
    Given a mesh of two halves in two regions
    When an operator publishes a change with a route to an unknown class
    And 9 seconds pass
    Then every node still has the complete previous configuration
