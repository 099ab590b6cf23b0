Feature: Every planned stop is a graceful shutdown
  Scenario: A node is stopped while a caller uploads a drawing
    Given a mesh whose nodes are reached over real connections
    And a caller has sent half of a drawing of 50 megabytes
    When the node beside the backend server is asked to stop
    Then new calls go to another backend server
    And the drawing arrives whole
    And the node ends by itself
